"""Tests of the command line and its exit statuses."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

import pytest

from yuccactl import errors, main, settings


async def _main(*arguments: str) -> int:
    return await asyncio.to_thread(main.main, ['yuccactl', *arguments])


@pytest.mark.parametrize(
    ('text', 'status'),
    [
        ('show versions', errors.DONE),
        ('allow c@2 for o', errors.DONE),
        ('allow c@9 for o', errors.REJECTED),
        ('take out kochi', errors.REJECTED),
        ('nonsense', errors.BAD_USAGE),
    ],
)
async def test_exit_status(
    harness: Any,
    capsys: pytest.CaptureFixture[str],
    text: str,
    status: int,
) -> None:
    """Guards against a rejected statement that ends with status 0.

    A script would take it for a success. The operator key is never printed.
    """
    flag = f'--settings={harness.settings_path}'
    assert await _main(flag, '--output=json', *text.split()) == status
    printed = capsys.readouterr()
    assert bool(printed.out) is (status == errors.DONE)
    assert 'secret' not in printed.out + printed.err


@pytest.mark.parametrize(
    ('status_documents', 'drop_answers', 'status'),
    [
        ([], False, errors.NOT_YET),
        ([{}], True, errors.UNKNOWN),
    ],
)
async def test_exit_status_of_unconfirmed_change(
    harness: Any, status_documents: list[Any], drop_answers: bool, status: int
) -> None:
    """Guards against one status for a late change and for an unknown result.

    A late change is recorded, but no daemon has confirmed it in time. After
    a lost answer of the log it is unknown whether the change was recorded.
    """
    harness.platform.status_documents = status_documents
    harness.platform.drop_answers = drop_answers
    harness.platform.dropped_takes_effect = False
    flag = f'--settings={harness.settings_path}'
    assert await _main(flag, '--wait_ms=20', 'withdraw', 'c@2') == status


async def test_file(harness: Any, tmp_path: pathlib.Path) -> None:
    """Guards against executing a part of a file that has a syntax error."""
    path = tmp_path / 'orders'
    flags = (f'--settings={harness.settings_path}', f'--file={path}')
    path.write_text('# limits\nlimit o to 5 concurrent\nallow c@2\n')
    assert await _main(*flags) == errors.BAD_USAGE
    assert harness.platform.appends == 0
    path.write_text('limit o to 5 concurrent\n\nallow c@2 for o\n')
    assert await _main(*flags) == errors.DONE
    assert harness.platform.appends == 2


@pytest.mark.parametrize(
    'arguments',
    [
        ('--unknown', 'show', 'bill'),
        ('--output=xml', 'show', 'bill'),
        ('--wait_ms=-1', 'show', 'bill'),
        ('show', 'bill'),
        ('--file=/missing',),
        ('--file=x', 'show', 'bill'),
        ('settings', 'check', '/missing'),
    ],
)
async def test_bad_usage(arguments: tuple[str, ...]) -> None:
    """Guards against bad flags that end with another status or a traceback."""
    assert await _main(*arguments) == errors.BAD_USAGE


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('log_url: http://l', ''),
        ('daemons: []', 'log_url'),
        ('log_url: ftp://l', 'not an HTTP URL'),
        ('log_url: http://l\nauthro: x', 'authro'),
        ('log_url: http://l\ndaemons: http://d', 'must be a list'),
        ('[]', 'no mapping'),
        ('{', 'not YAML'),
    ],
)
def test_settings(tmp_path: pathlib.Path, text: str, message: str) -> None:
    """Guards against settings that are not valid but pass the check."""
    path = tmp_path / 'settings.yaml'
    path.write_text(text)
    if not message:
        assert settings.load(str(path)).daemons == []
        return
    with pytest.raises(errors.UsageError) as caught:
        settings.load(str(path))
    assert message in caught.value.message


async def test_help(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against help that names no flags or counts as an error."""
    assert await _main('--help') == errors.DONE
    assert '--settings' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('text', 'status', 'shown'),
    [
        ('log_url: http://l', 0, 'is valid'),
        ('role: entry', 2, '$.secrets: required field is missing'),
        ('role: king', 2, '$.role: expected entry or agent'),
        ('role: [', 2, 'is not YAML'),
    ],
)
def test_check_of_any_settings(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    status: int,
    shown: str,
) -> None:
    """Guards against checking a daemon's file by this program's rules."""
    path = tmp_path / 's.yaml'
    path.write_text(text)
    assert main.main(['yuccactl', 'settings', 'check', str(path)]) == status
    captured = capsys.readouterr()
    assert shown in captured.out + captured.err
