"""Tests of the relay of bill rows, compared with direct appends."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import grpc
import pytest
from grpc import aio
from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarouter.billing import ledger
from yuccarouter.membership import relay
from yuccarouter_common import billing_rows
from yuccarouter_common.platform import errors, vms
from yuccarouter_testkit import memory_log

_SENDERS = 3


def _row(request_id: str) -> billing_rows.BillRow:
    return billing_rows.BillRow(
        request_id, 'o', 'm', '1', 'k', 1, 2, 3, 'e', f'a-{request_id}', 0
    )


class _Network:
    """The entries of one data centre, with faults that a test injects.

    A call may fail before or after it took effect, and a relay may be dead
    or die while it appends.
    """

    metadata = ()

    def __init__(self, client: Any, entries: int = 21) -> None:
        self.log = client
        self.fault = ''
        self.dead: set[str] = set()
        self.listed = [
            vms.Vm(f'v{n}', f'v{n}:1', 'a', vms.State.LIVE, 'entry')
            for n in range(entries)
        ]
        self.batchers = {
            vm.address: relay.AppendBatcher(client) for vm in self.listed
        }
        self.written: list[str] = []
        self.now_s = 0.0
        self.ledgers = [self._ledger(n) for n in range(_SENDERS)]

    def live(self, role: str) -> list[vms.Vm]:
        return [vm for vm in self.listed if vm.role == role]

    def at(self, address: str) -> Any:
        async def append(request: Any, **_: Any) -> Any:
            fault = self.fault
            self.fault = ''
            if address in self.dead or fault == 'refused':
                raise _rpc_error()
            if fault == 'relay dies':
                self.kill(address)
                raise _rpc_error()
            reply = await relay.handle_append(self.batchers[address], request)
            if fault == 'answer lost' or address in self.dead:
                raise _rpc_error()
            return reply

        return types.SimpleNamespace(peer=types.SimpleNamespace(Append=append))

    def kill(self, address: str) -> None:
        """Drop a relay's pending appends and its connections."""
        self.dead.add(address)
        batcher = self.batchers[address]
        for pending in batcher._pending:
            pending.appended.set_exception(errors.UnavailableError('dead'))
        batcher._pending.clear()

    def _ledger(self, number: int) -> ledger.Ledger:
        address = f'v{number}:1'
        conf: Any = types.SimpleNamespace(data_centre='a', peer=address)
        network: Any = self
        sender = ledger.Ledger(
            relay.RelayedLog(
                conf,
                self.log,
                self.batchers[address],
                network,
                network,
                lambda: self.now_s,
            ),
            1,
            self._record_written,
        )
        sender.retry_delay_s = 0
        return sender

    async def _record_written(self, rows: list[billing_rows.BillRow]) -> None:
        self.written += [row.request_id for row in rows]

    async def run(self) -> None:
        """Run the ledgers and the relays until all rows are written."""
        flushes = [asyncio.create_task(rows.flush()) for rows in self.ledgers]
        while not all(flush.done() for flush in flushes):
            for batcher in self.batchers.values():
                await batcher.flush()
            await asyncio.sleep(0)
        await asyncio.gather(*flushes)


def _rpc_error() -> aio.AioRpcError:
    return aio.AioRpcError(
        grpc.StatusCode.UNAVAILABLE, aio.Metadata(), aio.Metadata()
    )


_STEP = st.one_of(
    st.tuples(st.just('add'), st.integers(0, _SENDERS - 1)),
    st.tuples(
        st.sampled_from(
            (
                'refused',
                'relay dies',
                'answer lost',
                'lose',
                'delay',
                'deliver',
                'outage',
                'wait',
                'flush',
            )
        ),
        st.just(0),
    ),
)


@settings(deadline=None, max_examples=60)
@given(steps=st.lists(_STEP, max_size=30))
async def test_every_row_counts_once_with_a_relay(steps: list[Any]) -> None:
    """Guards against rows lost or counted twice when relay or log fail.

    The naive version appends each row directly to another log.
    """
    client = memory_log.MemoryLog()
    naive = memory_log.MemoryLog()
    network = _Network(client)
    for number, (step, sender) in enumerate([*steps, ('flush', 0)]):
        if step == 'add':
            row = _row(f'r{number}')
            network.ledgers[sender].add(row)
            naive.add(
                'billing', row.request_id, billing_rows.batch_payload([row])
            )
        elif step == 'lose':
            client.lose_answers += 1
        elif step == 'delay':
            client.delay_appends += 1
        elif step == 'deliver':
            client.deliver_late()
        elif step == 'wait':
            network.now_s += 20
            network.dead.clear()
        elif step == 'outage':
            client.down = True
            running = asyncio.create_task(network.run())
            for _ in range(20):
                await asyncio.sleep(0)
            client.down = False
            await running
        elif step == 'flush':
            await network.run()
        else:
            network.fault = step
    client.deliver_late()
    counted, expected = (
        billing_rows.first_rows(
            entry.payload for entry in memory.stream('billing').entries
        )
        for memory in (client, naive)
    )
    assert counted == expected
    assert sorted(network.written) == sorted(expected)


@pytest.mark.parametrize(
    ('entries', 'appends'), [(relay._MIN_ENTRIES, 3), (21, 1)]
)
async def test_appends_by_number_of_entries(entries: int, appends: int) -> None:
    """Guards against one append per entry in a large fleet."""
    client = memory_log.MemoryLog()
    network = _Network(client, entries)
    for number, sender in enumerate(network.ledgers):
        sender.add(_row(f'r{number}'))
    await network.run()
    assert client.appends == appends
    assert sorted(network.written) == ['r0', 'r1', 'r2']


async def test_stopping_relay_answers_its_senders() -> None:
    """Guards against senders that wait for a relay that has shut down."""
    client: Any = memory_log.MemoryLog()
    batcher = relay.AppendBatcher(client)
    waiting = asyncio.create_task(batcher.append({'rows': ['x']}))
    await asyncio.sleep(0)
    await batcher.stop()
    await waiting
    assert client.appends == 1
    with pytest.raises(errors.UnavailableError):
        await batcher.append({'rows': ['y']})
