"""Output rows and sources built from the daemons' status."""

from __future__ import annotations

from typing import Any, Final

from yuccactl import output, sources

# ``log_state`` of a daemon that applied records which the log has lost.
REWOUND: Final = 'rewound'

# Sorts reports without an age after all others.
_UNKNOWN_AGE_MS: Final = 2**53


def endpoint_views(answers: list[sources.Answer]) -> list[output.Row]:
    """Return a row for every report of an endpoint by every daemon."""
    return [
        {**report, 'according_to': answer.daemon}
        for answer in answers
        for report in _endpoint_reports(answer)
    ]


def endpoints(answers: list[sources.Answer]) -> list[output.Row]:
    """Return one row for each endpoint, from its most recent report.

    A report without an age counts as the oldest.
    """
    newest: dict[str, output.Row] = {}
    for row in sorted(endpoint_views(answers), key=_age_ms):
        newest.setdefault(str(row['endpoint']), row)
    return [newest[name] for name in sorted(newest)]


def daemon_sources(answers: list[sources.Answer]) -> list[output.Source]:
    """Return a source for each daemon, with its position and age."""
    return [_daemon_source(answer) for answer in answers]


def replay_source(
    context: sources.Context,
    replay: sources.Replay,
) -> output.Source:
    """Return the log as a source of age 0, with the replayed position."""
    position = replay.configuration.position
    state = '' if replay.complete else 'incomplete: changes are missing'
    return output.Source(
        f'log {context.settings.log_url}',
        position.generation,
        position.offset,
        age_ms=0,
        log_state=state,
    )


def _endpoint_reports(answer: sources.Answer) -> list[output.Row]:
    reports = answer.document.get('endpoints')
    if isinstance(reports, dict):
        reports = [
            {'endpoint': name, **report}
            for name, report in reports.items()
            if isinstance(report, dict)
        ]
    if not isinstance(reports, list):
        return []
    return [
        report
        for report in reports
        if isinstance(report, dict) and 'endpoint' in report
    ]


def _daemon_source(answer: sources.Answer) -> output.Source:
    if answer.fault:
        return output.Source(answer.daemon, fault=answer.fault)
    position = answer.position
    known = position.offset >= 0
    age_ms = answer.document.get('confirmed_age_ms')
    return output.Source(
        answer.daemon,
        position.generation if known else None,
        position.offset if known else None,
        age_ms=age_ms if isinstance(age_ms, int) else None,
        log_state=str(answer.document.get('log_state', '')),
    )


def _age_ms(row: output.Row) -> Any:
    age_ms = row.get('age_ms')
    return age_ms if isinstance(age_ms, (int, float)) else _UNKNOWN_AGE_MS
