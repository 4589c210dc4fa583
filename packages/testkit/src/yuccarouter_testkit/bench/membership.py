"""Benchmark of membership; prints slopes and the sum for one entry.

Run it with ``python -m yuccarouter_testkit.bench.membership [SEED]``. Both
ends of each stream run in this process, so the processor time of a message is
that of sending and of receiving it.
"""

from __future__ import annotations

import asyncio
import sys
import tracemalloc
from typing import Any, Final

from yuccarouter.membership import subset
from yuccarouter_testkit.bench import _appends, _control

_SEED: Final = 1
_SIZES: Final = (10, 100, 810)
# 116 is the share of one of 7 data centres among 810.
_FOLLOWED: Final = (10, 40, 116)
_PEERS: Final = (1, 6)
_SENDERS: Final = (20, 100, 400)
_SHORTEST_MS: Final = 250
_PREFIXES: Final = 64
_KB: Final = 1000
_MB: Final = 1e6
# Serialized size of a VM in the list and time between lists, per VM.
_VM_BYTES: Final = 130
_MS_PER_VM: Final = 20
_US_PER_PERCENT: Final = 1e4


def run(seed: int) -> dict[str, Any]:
    """Return the figures of reports, digests, memory, appends and an entry.

    ``reports_N`` are those of N followed agents; ``naive_N`` has the same
    agents at the shortest interval, as when all are followed alike.
    """
    figures: dict[str, Any] = {}
    for agents in _FOLLOWED:
        figures[f'reports_{agents}'] = _reports(agents, seed, is_naive=False)
        figures[f'naive_{agents}'] = _reports(agents, seed, is_naive=True)
    for peers in _PEERS:
        received = asyncio.run(_control.follow_digests(peers, _SIZES[-1], seed))
        figures[f'digests_{peers}'] = received.figures('digest')
    for size in _SIZES:
        figures[f'digest_of_{size}'] = _control.digest_cost(size, seed)
    figures['fleet_bytes_per_endpoint'] = {
        str(endpoints): _fleet_bytes(endpoints, seed) / endpoints
        for endpoints in _SIZES
    }
    figures['appends_per_s'] = asyncio.run(_all_appends())
    figures['entry'] = _entry(figures)
    return figures


async def _all_appends() -> dict[str, float]:
    figures = {}
    for senders in _SENDERS:
        for name, has_relay in (('naive', False), ('relay', True)):
            figures[f'{name}_{senders}'] = await _appends.appends_per_s(
                senders, has_relay=has_relay
            )
    return figures


def _reports(agents: int, seed: int, *, is_naive: bool) -> dict[str, float]:
    interval_ms = _SHORTEST_MS
    if not is_naive:
        interval_ms = subset.report_interval_ms(_SHORTEST_MS, agents)
    received = asyncio.run(
        _control.follow_reports(
            agents, interval_ms, _PREFIXES * _SHORTEST_MS // interval_ms, seed
        )
    )
    return received.figures('report')


def _fleet_bytes(endpoints: int, seed: int) -> int:
    tracemalloc.start()
    fleet = _control.filled_fleet(endpoints, seed)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The fleet is alive until here.
    assert fleet.find('endpoint-0') is not None
    return held


def _entry(figures: dict[str, Any]) -> dict[str, float]:
    """Return the sums for one entry at 400 entries before 810 workers.

    It follows 116 agents, gets 6 digests a second and gives as many. The
    naive entry follows 810 agents at the cost of each of 116. The bytes are
    those of the messages, without the frames around them.
    """
    own, naive = figures['reports_116'], figures['naive_116']
    digest, made = figures['digests_6'], figures['digest_of_810']
    list_bytes = _VM_BYTES * _KB / _MS_PER_VM
    digests_per_s = _PEERS[-1]
    digest_us = digest['digest_us_per_message'] + made['apply_us']
    # The sample of one source varies; the mean is that of 6 sources.
    digest_bytes = (
        digest['digest_bytes_per_s']
        / digest['digest_messages_per_s']
        * made['gzip_bytes']
        / made['bytes']
    )
    ratio = _SIZES[-1] / _FOLLOWED[-1]
    fleet = figures['fleet_bytes_per_endpoint']
    held = _FOLLOWED[-1] + digests_per_s * made['sampled']
    return {
        'kb_per_s': (
            own['report_bytes_per_s']
            + 2 * digests_per_s * digest_bytes
            + list_bytes
        )
        / _KB,
        'both_ends_core_percent': own['report_core_percent']
        + digests_per_s * digest_us / _US_PER_PERCENT,
        'fleet_mb': held * fleet[str(_SIZES[1])] / _MB,
        'messages_per_s': own['report_messages_per_s'] + 2 * digests_per_s,
        'naive_kb_per_s': naive['report_bytes_per_s'] * ratio / _KB,
        'naive_both_ends_core_percent': naive['report_core_percent'] * ratio,
        'naive_fleet_mb': _SIZES[-1] * fleet[str(_SIZES[-1])] / _MB,
        'naive_messages_per_s': naive['report_messages_per_s'] * ratio,
    }


def main(arguments: list[str]) -> None:
    """Print the figures of a run."""
    seed = int(arguments[0]) if arguments else _SEED
    for group, measured in run(seed).items():
        print(group)  # noqa: WPS421
        for name, figure in measured.items():
            print(f'  {name:32} {figure:12.2f}')  # noqa: WPS421


if __name__ == '__main__':
    main(sys.argv[1:])
