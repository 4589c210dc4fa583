"""Failures of each part of a fleet of processes, as scenarios."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from yuccarouter_testkit.demo import calls, processes, world
from yuccarouter_testkit.stand_ins import texts

scenarios('features/failures.feature')

_PROMPT = 'Summarise the service history of the cold room.'
_HANDOVERS = '/services/ledger/handovers'
_LIMIT_S = 30.0

Run = Callable[[Awaitable[Any]], Any]


class _Scene:
    """What one scenario has done so far."""

    def __init__(self) -> None:
        self.key = ''
        self.replies: list[calls.Reply] = []
        self.faulty: list[str] = []
        # Ids of earlier answers, which must be in the bill too.
        self.answered: set[str] = set()

    def note(self, replies: list[calls.Reply]) -> None:
        self.replies = replies
        self.answered |= {
            reply.headers['X-Request-Id']
            for reply in replies
            if reply.status < 400
        }


@pytest.fixture(scope='module')
def run() -> Iterator[Run]:
    loop = asyncio.new_event_loop()
    yield loop.run_until_complete
    loop.close()


@pytest.fixture
def fleet(run: Run, tmp_path: pathlib.Path) -> Iterator[world.World]:
    started = run(world.start(tmp_path))
    yield started
    run(world.stop(started))


@pytest.fixture
def scene() -> _Scene:
    return _Scene()


async def _stream(fleet: world.World, *, entry: int = 0) -> calls.Reply:
    return await fleet.caller(entry).chat(
        'record@1',
        _PROMPT,
        is_stream=True,
        X_Request_Kind='service-history',
    )


async def _send(fleet: world.World, count: int) -> list[calls.Reply]:
    sent = [
        fleet.caller(index % 2).chat('record@1', f'{_PROMPT} {index}')
        for index in range(count)
    ]
    return await asyncio.gather(*sent)


async def _hand_over(
    fleet: world.World, scene: _Scene, entry: int = 0
) -> calls.Reply:
    scene.key = scene.key or 'handover-1'
    return await fleet.caller(entry).send(
        'POST',
        _HANDOVERS,
        {'cylinder': 'KL-7', 'kg': 9},
        Idempotency_Key=scene.key,
        X_Request_Kind='handover',
    )


async def _serving_endpoint(fleet: world.World) -> Any:
    """Return the engine that runs a request now."""
    while True:
        for endpoint in fleet.endpoints('record-assistants'):
            async with fleet.running.session.get(
                f'{endpoint.url}/load'
            ) as response:
                if (await response.json())['in_flight']:
                    return endpoint
        await asyncio.sleep(0.01)


async def _until_answered(
    fleet: world.World, scene: _Scene, entry: int
) -> calls.Reply:
    async with asyncio.timeout(_LIMIT_S):
        while True:
            reply = await _hand_over(fleet, scene, entry)
            if reply.status < 400:
                return reply
            error = reply.document['error']
            assert error['retry_after_ms'] or error['outcome'] == 'unknown'
            await asyncio.sleep(0.3)


@given(parsers.parse('each engine breaks after {tokens:d} tokens once'))
def engines_break(
    run: Run, fleet: world.World, scene: _Scene, tokens: int
) -> None:
    for endpoint in fleet.endpoints('record-assistants'):
        run(fleet.fault(endpoint.url, die_after_tokens=tokens))
        scene.faulty.append(endpoint.url)


@given('the log is down')
def log_down(run: Run, fleet: world.World) -> None:
    run(fleet.fault(fleet.running.platform['log'], down=True))


@when('the log is back')
def log_back(run: Run, fleet: world.World) -> None:
    run(fleet.mend(fleet.running.platform['log']))


@given(parsers.parse('the log loses the answers of the next {count:d} appends'))
def log_loses(run: Run, fleet: world.World, count: int) -> None:
    run(fleet.fault(fleet.running.platform['log'], lose_answers=count))


@given(parsers.parse('the ledger takes {delay_ms:d} ms'))
def ledger_is_slow(run: Run, fleet: world.World, delay_ms: int) -> None:
    for endpoint in fleet.endpoints('ledger-app'):
        run(fleet.fault(endpoint.url, slow_ms=delay_ms))


@when('a caller streams an answer')
def stream(run: Run, fleet: world.World, scene: _Scene) -> None:
    async def act() -> calls.Reply:
        sent = asyncio.create_task(_stream(fleet))
        endpoint = await _serving_endpoint(fleet)
        await asyncio.sleep(0.3)
        for url in scene.faulty:
            await fleet.mend(url)
        assert endpoint
        return await sent

    scene.note([run(act())])


@when('a caller streams an answer and its agent is killed midway')
def kill_agent(run: Run, fleet: world.World, scene: _Scene) -> None:
    async def act() -> calls.Reply:
        sent = asyncio.create_task(_stream(fleet))
        endpoint = await _serving_endpoint(fleet)
        await asyncio.sleep(0.05)
        fleet.agent_of(endpoint).kill()
        return await sent

    scene.note([run(act())])


@when(
    parsers.parse(
        '{count:d} requests are sent while an agent of the engines is frozen'
    )
)
def freeze_agent(
    run: Run, fleet: world.World, scene: _Scene, count: int
) -> None:
    agent = fleet.agent_of(fleet.endpoints('record-assistants')[0])
    agent.child.send_signal(signal.SIGSTOP)
    try:
        scene.note(run(_send(fleet, count)))
    finally:
        agent.child.send_signal(signal.SIGCONT)


@when(parsers.parse('{count:d} requests are sent'))
def send(run: Run, fleet: world.World, scene: _Scene, count: int) -> None:
    scene.note(run(_send(fleet, count)))


@when('a cylinder is handed over')
def hand_over(run: Run, fleet: world.World, scene: _Scene) -> None:
    scene.key = ''
    reply = run(_hand_over(fleet, scene))
    scene.note([reply])


@when('a cylinder is handed over until it is answered')
def hand_over_until(run: Run, fleet: world.World, scene: _Scene) -> None:
    scene.note([run(_until_answered(fleet, scene, 0))])


@when('a cylinder is handed over and the entry is killed midway')
def kill_entry(run: Run, fleet: world.World, scene: _Scene) -> None:
    async def act() -> None:
        sent = asyncio.create_task(_hand_over(fleet, scene))
        await asyncio.sleep(0.4)
        fleet.entry_process(0).kill()
        with contextlib.suppress(aiohttp.ClientError):
            await sent

    run(act())


@when('the handover is repeated at the other entry until it is answered')
def repeat(run: Run, fleet: world.World, scene: _Scene) -> None:
    scene.note([run(_until_answered(fleet, scene, 1))])


@when('a cylinder is handed over at both entries at once')
def hand_over_twice(run: Run, fleet: world.World, scene: _Scene) -> None:
    async def act() -> list[calls.Reply]:
        return await asyncio.gather(
            _hand_over(fleet, scene, 0), _hand_over(fleet, scene, 1)
        )

    scene.note(run(act()))
    assert 201 in {reply.status for reply in scene.replies}


async def _load_while(
    fleet: world.World, process: processes.Process, entries: tuple[int, ...]
) -> list[calls.Reply]:
    """Send requests while a process is stopped, as the balancer allows.

    A balancer stops using an entry that is not ready; a request that it had
    sent before must be answered all the same.
    """
    replies: list[calls.Reply] = []
    stopping = False

    async def send_on(entry: int) -> None:
        while not stopping or entry != 0:
            reply = await fleet.caller(entry).chat('record@1', _PROMPT)
            replies.append(reply)
            if process.child.poll() is not None:
                return

    callers = [asyncio.create_task(send_on(entry)) for entry in entries * 3]
    await asyncio.sleep(0.5)
    stopping = True
    process.terminate()
    await asyncio.gather(*callers)
    return replies


@when('requests go on while an entry is stopped gracefully')
def stop_entry(run: Run, fleet: world.World, scene: _Scene) -> None:
    process = fleet.entry_process(0)
    scene.note(run(_load_while(fleet, process, (0, 1))))
    assert process.child.returncode == 0


@when('requests go on while an agent of the engines is stopped gracefully')
def stop_agent(run: Run, fleet: world.World, scene: _Scene) -> None:
    process = fleet.agent_of(fleet.endpoints('record-assistants')[0])
    scene.note(run(_load_while(fleet, process, (1,))))
    assert process.child.returncode == 0


@then('the caller has the whole answer once')
def whole_once(scene: _Scene) -> None:
    [reply] = scene.replies
    assert reply.status == 200, reply.body
    assert reply.is_whole
    version = reply.headers['X-Served-Version']
    assert texts.is_complete(reply.text, _PROMPT, version), reply.text


@then('all of them are answered')
@then('no request was cut')
def all_answered(scene: _Scene) -> None:
    assert scene.replies
    assert {reply.status for reply in scene.replies} == {200}


@then('the handover is answered')
def handover_answered(scene: _Scene) -> None:
    assert [reply.status for reply in scene.replies] == [201]


@then(parsers.parse('the refusal is {code} and {outcome}'))
def refused(scene: _Scene, code: str, outcome: str) -> None:
    [reply] = scene.replies
    error = reply.document['error']
    assert (error['code'], error['outcome']) == (code, outcome)
    assert error['retry_after_ms']


@then(parsers.parse('the ledger has run the handover {count:d} times'))
def runs(run: Run, fleet: world.World, scene: _Scene, count: int) -> None:
    assert run(fleet.runs_of(scene.key)) == count


@then('the request is billed once')
@then('the handover is billed once')
@then('each is billed once')
def billed_once(run: Run, fleet: world.World, scene: _Scene) -> None:
    assert scene.answered
    wanted = sorted(scene.answered)
    counted = run(fleet.count_bills(wanted))
    assert counted == dict.fromkeys(wanted, 1)


@given('an entry can not reach the log', target_fixture='cut_entry')
def cut_log(run: Run, fleet: world.World) -> int:
    run(fleet.restart_entry_without_log(1))
    return 1


@when(parsers.parse('an operator withdraws {version}'))
def withdraw(run: Run, fleet: world.World, version: str) -> None:
    status, text = run(calls.operate(fleet.running, f'withdraw {version}'))
    assert status in {0, 4}, text


@then(parsers.parse('that entry refuses {version} within {limit_s:d} s'))
def refuses(
    run: Run, fleet: world.World, cut_entry: int, version: str, limit_s: int
) -> None:
    async def act() -> str:
        async with asyncio.timeout(limit_s):
            while True:
                reply = await fleet.caller(cut_entry).chat(version, 'Is it?')
                if reply.status == 403:
                    return str(reply.document['error']['code'])
                await asyncio.sleep(0.2)

    assert run(act()) == 'version_not_allowed'
