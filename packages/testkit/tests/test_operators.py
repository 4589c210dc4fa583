"""Statements of operators on a fleet of processes, as scenarios.

The scenarios share one fleet and run in their order; the last one leaves
processes killed.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import aiohttp
import orjson
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from yuccarouter_common import history
from yuccarouter_testkit.demo import calls, world

scenarios('features/operators.feature')

_LIMIT_S = 20.0

Run = Callable[[Awaitable[Any]], Any]


class _Scene:
    """What the scenarios have done so far."""

    def __init__(self) -> None:
        self.done = calls.Operated(0, '', '')
        self.both: list[calls.Operated] = []
        self.served: list[str] = []
        self.handover = ''


@pytest.fixture(scope='module')
def run() -> Iterator[Run]:
    loop = asyncio.new_event_loop()
    yield loop.run_until_complete
    loop.close()


@pytest.fixture(scope='module')
def fleet(
    run: Run, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[world.World]:
    started = run(world.start(tmp_path_factory.mktemp('operators')))
    yield started
    run(world.stop(started))


@pytest.fixture(scope='module')
def scene() -> _Scene:
    return _Scene()


@pytest.fixture(autouse=True)
def healthy_log(run: Run, fleet: world.World) -> Iterator[None]:
    """Ends a scenario's faults of the log."""
    yield
    run(fleet.mend(fleet.running.platform['log']))


async def _configuration_entries(fleet: world.World) -> list[Any]:
    batch = await fleet.running.log_client.read(history.STREAM, 0)
    return batch.records


async def _until(check: Callable[[], Awaitable[Any]]) -> Any:
    async with asyncio.timeout(_LIMIT_S):
        while True:
            found = await check()
            if found:
                return found
            await asyncio.sleep(0.1)


@given(parsers.parse('{count:d} requests were served'))
def requests_served(
    run: Run, fleet: world.World, scene: _Scene, count: int
) -> None:
    for number in range(count):
        caller = fleet.caller(number % 2)
        reply = run(caller.chat('record@1', f'Summarise unit {number}.'))
        assert reply.status == 200, reply.body
        scene.served.append(reply.headers['X-Request-Id'])


@given('the log is slow')
def log_slow(run: Run, fleet: world.World) -> None:
    # Both operators then read the configuration before either writes.
    run(fleet.fault(fleet.running.platform['log'], slow_ms=300))


@given('the log loses the answer to the next change')
def log_loses(run: Run, fleet: world.World) -> None:
    run(
        fleet.fault(
            fleet.running.platform['log'],
            stream=history.STREAM,
            lose_appends=1,
        )
    )


@when('asha states explain request of the last one')
def explain(run: Run, fleet: world.World, scene: _Scene) -> None:
    statement = f'--output=json explain request {scene.served[-1]}'
    scene.done = run(calls.operate_as(fleet.running, 'asha', statement))


@when(parsers.re('asha states (?P<statement>(?!explain request of).+)'))
def state(run: Run, fleet: world.World, scene: _Scene, statement: str) -> None:
    scene.done = run(calls.operate_as(fleet.running, 'asha', statement))


@when('two operators limit an organisation differently at once')
def conflict(run: Run, fleet: world.World, scene: _Scene) -> None:
    async def act() -> list[calls.Operated]:
        return await asyncio.gather(
            *(
                calls.operate_as(
                    fleet.running, author, f'limit board to {limit} concurrent'
                )
                for author, limit in (('asha', 40), ('bela', 60))
            )
        )

    scene.both = run(act())


@when('the log loses this change')
def rewind(run: Run, fleet: world.World) -> None:
    last = run(_configuration_entries(fleet))[-1]
    assert last.payload['kind'] == 'withdraw_version'
    run(
        fleet.fault(
            fleet.running.platform['log'],
            stream=history.STREAM,
            rewind_to=last.offset,
        )
    )


@when('all daemons have noticed')
def noticed(run: Run, fleet: world.World) -> None:
    running = fleet.running
    agents = [endpoint.agent_admin for endpoint in running.endpoints]

    async def check() -> bool:
        shown = [
            await running.status(admin) for admin in (*running.admins, *agents)
        ]
        return all(found['log_state'] == 'rewound' for found in shown)

    run(_until(check))


@when('a handover has run and its entry and agent are killed')
def kill_both(run: Run, fleet: world.World, scene: _Scene) -> None:
    async def outcome() -> str:
        for partition in range(8):
            batch = await fleet.running.log_client.read(
                f'registry-{partition:02d}', 0
            )
            for entry in batch.records:
                for item in entry.payload['items']:
                    if item['item'] == 'outcome':
                        return str(item['key'])
        return ''

    async def act() -> None:
        ledgers = fleet.endpoints('ledger-app')
        for endpoint in ledgers:
            await fleet.fault(endpoint.url, slow_ms=600)
        sent = asyncio.create_task(
            fleet.caller().send(
                'POST',
                '/services/ledger/handovers',
                {'cylinder': 'KL-7', 'kg': 9},
                Idempotency_Key='handover-1',
                X_Request_Kind='handover',
            )
        )
        await asyncio.sleep(0.4)
        fleet.entry_process(0).kill()
        with contextlib.suppress(aiohttp.ClientError):
            await sent
        scene.handover = await _until(outcome)
        for endpoint in ledgers:
            fleet.agent_of(endpoint).kill()

    run(act())
    assert run(fleet.runs_of('handover-1')) == 1
    rows = run(calls.billed_rows(fleet.running))
    assert scene.handover not in {row.request_id for row in rows}


@then('the statement is done')
def done(scene: _Scene) -> None:
    assert scene.done.status == 0, scene.done


@then('the statement is rejected')
def rejected(scene: _Scene) -> None:
    assert scene.done.status == 3, scene.done
    assert 'nothing was changed' in scene.done.progress


@then(parsers.parse('the answer has: {text}'))
def answer_has(scene: _Scene, text: str) -> None:
    assert text in scene.done.output, scene.done


@then(parsers.parse('the progress has: {text}'))
def progress_has(scene: _Scene, text: str) -> None:
    assert text in scene.done.progress, scene.done


@then('it names an endpoint that served it')
def names_endpoint(run: Run, fleet: world.World, scene: _Scene) -> None:
    rows = orjson.loads(scene.done.output)['rows']
    found = {row['field']: row['value'] for row in rows}
    assert found['request_id'] == scene.served[-1]
    steps = {
        field.removesuffix('.step'): value
        for field, value in found.items()
        if field.endswith('.step')
    }
    [chosen] = [
        found[f'{decision}.endpoint']
        for decision, step in steps.items()
        if step == 'choose_endpoint'
    ]
    pool = fleet.endpoints('record-assistants')
    [endpoint] = [item for item in pool if item.name == chosen]
    assert run(calls.started(fleet.running, endpoint)) > 0


@then('the bill has one row for each request')
def bill_rows(run: Run, fleet: world.World, scene: _Scene) -> None:
    counted = run(fleet.count_bills(scene.served))
    assert counted == dict.fromkeys(scene.served, 1)
    statement = '--output=json show bill'
    shown = run(calls.operate_as(fleet.running, 'asha', statement))
    rows = orjson.loads(shown.output)['rows']
    assert sum(row['requests'] for row in rows) == len(scene.served)


@then('one of them is done')
def one_done(scene: _Scene) -> None:
    assert sorted(one.status for one in scene.both) == [0, 3], scene.both


@then('the other is rejected and told which change won')
def other_told(run: Run, fleet: world.World, scene: _Scene) -> None:
    [loser] = [one for one in scene.both if one.status == 3]
    author = 'asha' if loser is scene.both[1] else 'bela'
    limits = [
        entry
        for entry in run(_configuration_entries(fleet))
        if entry.payload['kind'] == 'limits'
    ]
    winner = limits[0]
    assert winner.payload['author'] == author
    told = f'change {winner.append_id} of {author} at offset {winner.offset}'
    assert told in loser.progress


@then('the configuration has this change once')
def once(run: Run, fleet: world.World) -> None:
    async def left() -> int:
        url = f'{fleet.running.platform["log"]}/faults'
        async with fleet.running.session.get(url) as response:
            return int((await response.json())['lose_appends'])

    assert run(left()) == 0
    values = [
        entry.payload['body']['max_concurrent']
        for entry in run(_configuration_entries(fleet))
        if entry.payload['kind'] == 'limits'
    ]
    assert values.count(77) == 1


@then(parsers.parse('{version} is refused'))
def refused(run: Run, fleet: world.World, version: str) -> None:
    for entry in (0, 1):
        reply = run(fleet.caller(entry).chat(version, 'Is it allowed?'))
        assert reply.status == 403, reply.body
        assert reply.document['error']['code'] == 'version_not_allowed'


@then('the handover is billed once')
def handover_billed(run: Run, fleet: world.World, scene: _Scene) -> None:
    rows = run(calls.billed_rows(fleet.running))
    own = [row for row in rows if row.request_id == scene.handover]
    assert [row.cost_microcents for row in own] == [300]
