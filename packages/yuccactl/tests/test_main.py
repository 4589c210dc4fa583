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
    bench: Any,
    capsys: pytest.CaptureFixture[str],
    text: str,
    status: int,
) -> None:
    """Guards against scripts that take a refusal for success."""
    flag = f'--settings={bench.settings_path}'
    assert await _main(flag, '--output=json', *text.split()) == status
    printed = capsys.readouterr()
    assert bool(printed.out) is (status == errors.DONE)
    assert 'secret' not in printed.out + printed.err


@pytest.mark.parametrize(
    ('documents', 'lose', 'status'),
    [
        ([], False, errors.NOT_YET),
        ([{}], True, errors.UNKNOWN),
    ],
)
async def test_exit_status_of_doubt(
    bench: Any, documents: list[Any], lose: bool, status: int
) -> None:
    """Guards against confusing a late change with a lost one."""
    bench.platform.documents = documents
    bench.platform.lose = lose
    bench.platform.lost_takes_effect = False
    flag = f'--settings={bench.settings_path}'
    assert await _main(flag, '--wait_ms=20', 'withdraw', 'c@2') == status


async def test_file(bench: Any, tmp_path: pathlib.Path) -> None:
    """Guards against doing half of a file that has a typing error."""
    path = tmp_path / 'orders'
    flags = (f'--settings={bench.settings_path}', f'--file={path}')
    path.write_text('# limits\nlimit o to 5 concurrent\nallow c@2\n')
    assert await _main(*flags) == errors.BAD_USAGE
    assert bench.platform.appends == 0
    path.write_text('limit o to 5 concurrent\n\nallow c@2 for o\n')
    assert await _main(*flags) == errors.DONE
    assert bench.platform.appends == 2


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
    """Guards against settings with a typing error that pass the check."""
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
    """Guards against a check that rejects the files of the daemons."""
    path = tmp_path / 's.yaml'
    path.write_text(text)
    assert main.main(['yuccactl', 'settings', 'check', str(path)]) == status
    captured = capsys.readouterr()
    assert shown in captured.out + captured.err
