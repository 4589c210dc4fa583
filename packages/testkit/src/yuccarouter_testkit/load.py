"""Load tool: sends an example mix to an entry and checks each answer.

Example: ``python -m yuccarouter_testkit.load --url http://127.0.0.1:8080
--rate 50 --duration_s 10 --mix ratselwerk --organisation_key KEY``. Exit
status: 0 when every request was answered completely or rejected properly, 1
when one was wrong, lost or not sent, 2 for bad usage.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import uuid
from typing import Final

import orjson
from absl import flags

from yuccarouter_common import records
from yuccarouter_testkit import load_report, load_run, mixes

# Bounds that keep a mistyped flag from filling the machine.
_MAX_REQUESTS: Final = 200_000
_MAX_DURATION_S: Final = 900
_MAX_OPEN: Final = 2000
_BAD_USAGE: Final = 2


def main(arguments: list[str]) -> int:
    """Run with command-line arguments; return the exit status."""
    try:
        values = _parse(arguments)
        plan = _plan(values)
    except (flags.Error, ValueError) as bad:
        sys.stderr.write(f'{bad}\n')
        return _BAD_USAGE
    results = asyncio.run(load_run.run(plan))
    report = load_report.summarise(results)
    sys.stdout.write(f'{load_report.table(report)}\n')
    document = {
        'mix': values.mix,
        'rate': plan.rate,
        'duration_s': plan.duration_s,
        'seed': plan.seed,
        'run_id': plan.run_id,
        **records.converter.unstructure(report),
    }
    out = pathlib.Path(values.out)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
    return 0 if report.is_good(values.allow_session_moves) else 1


def _parse(arguments: list[str]) -> flags.FlagValues:
    # Own flag values, because the daemon has flags of the same names.
    parsed = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string('url', None, 'URL of an entry', flag_values=parsed)
    flags.DEFINE_float('rate', 10, 'requests per second', flag_values=parsed)
    flags.DEFINE_float('duration_s', 10, 'seconds', flag_values=parsed)
    flags.DEFINE_enum(
        'mix', 'ratselwerk', sorted(mixes.MIXES), 'mix', flag_values=parsed
    )
    flags.DEFINE_string(
        'model', '', 'model instead of that of the mix', flag_values=parsed
    )
    flags.DEFINE_string(
        'organisation_key', '', 'bearer token', flag_values=parsed
    )
    flags.DEFINE_integer(
        'max_open', _MAX_OPEN, 'limit of open requests', flag_values=parsed
    )
    flags.DEFINE_bool(
        'allow_session_moves',
        False,
        'sessions may change their version, because one is withdrawn',
        flag_values=parsed,
    )
    flags.DEFINE_integer('seed', 1, 'seed of the mix', flag_values=parsed)
    flags.DEFINE_string(
        'out', 'build/load.json', 'file for the figures', flag_values=parsed
    )
    parsed(arguments)
    return parsed


def _plan(values: flags.FlagValues) -> load_run.Plan:
    if not values.url:
        raise ValueError('--url is needed')
    if not 0 < values.duration_s <= _MAX_DURATION_S:
        raise ValueError(f'--duration_s must be in (0, {_MAX_DURATION_S}]')
    count = values.rate * values.duration_s
    if not 1 <= count <= _MAX_REQUESTS:
        raise ValueError(
            f'rate and duration give {count:.0f} requests; '
            f'1 to {_MAX_REQUESTS} are possible'
        )
    if not 0 < values.max_open <= _MAX_OPEN:
        raise ValueError(f'--max_open must be in [1, {_MAX_OPEN}]')
    mix = mixes.MIXES[values.mix]
    return load_run.Plan(
        url=values.url.rstrip('/'),
        mix=mix,
        model=values.model or mix.model,
        organisation_key=values.organisation_key,
        # New for each run: keys of an earlier run would be replayed.
        run_id=uuid.uuid4().hex[:8],
        rate=values.rate,
        duration_s=values.duration_s,
        max_open=values.max_open,
        seed=values.seed,
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv))
