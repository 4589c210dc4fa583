"""Command line of the operators' program."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
from typing import Final

import attrs
from absl import flags

from yuccactl import (
    errors,
    execute,
    output,
    parser,
    prompt,
    settings,
    sources,
    statements,
)
from yuccarouter_common.platform import exchanges

_COMMENT_PREFIX: Final = '#'
_USAGE: Final = 'usage: yuccactl [flags] [statement]\n'


@attrs.frozen
class Options:
    """The parsed command line."""

    settings_path: str
    output_format: str
    file_path: str
    wait_ms: int
    text: str
    help_text: str = ''


def run() -> None:
    """Run the program with the process's arguments and exit."""
    sys.exit(main(sys.argv))


def main(argv: list[str]) -> int:
    """Run the program and return its exit status."""
    try:
        options = parse_options(argv)
        return asyncio.run(_run(options))
    except errors.CommandError as fault:
        _print_error(fault)
        return fault.exit_status


def parse_options(argv: list[str]) -> Options:
    """Return the options of a command line.

    Raises ``errors.UsageError`` for flags that are unknown or not valid.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        'settings', '', 'YAML settings file.', flag_values=values
    )
    flags.DEFINE_enum(
        'output',
        'table',
        list(output.FORMATS),
        'Form of the answer.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'file', '', 'File with one statement a line.', flag_values=values
    )
    flags.DEFINE_integer(
        'wait_ms',
        13_000,
        'How long to wait until a change is in effect.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'help', default=False, help='Show this text.', flag_values=values
    )
    try:
        positional = values(argv)
    except flags.Error as fault:
        raise errors.UsageError(
            f'{fault}\n{_USAGE}{values.get_help()}'
        ) from fault
    return Options(
        values.settings,
        values.output,
        values.file,
        values.wait_ms,
        ' '.join(positional[1:]),
        f'{_USAGE}{values.get_help()}' if values.help else '',
    )


async def _run(options: Options) -> int:
    if options.help_text:
        sys.stdout.write(f'{options.help_text}\n')
        return errors.DONE
    if options.text and options.file_path:
        raise errors.UsageError('give either a statement or --file, not both')
    if options.text:
        return await _run_lines(options, [options.text])
    if options.file_path:
        return await _run_lines(options, _file_lines(options.file_path))
    return await _run_prompt(options)


async def _run_lines(options: Options, texts: list[str]) -> int:
    # All lines are parsed before the first is executed, so that a syntax
    # error in the last one does not leave the file partly executed.
    parsed = [parser.parse(text) for text in texts]
    pending = collections.deque(parsed)
    while pending:
        await _run_statement(options, pending.popleft())
    return errors.DONE


async def _run_prompt(options: Options) -> int:
    status = errors.DONE
    async for line in prompt.lines():
        try:
            await _run_statement(options, parser.parse(line))
        except errors.CommandError as fault:
            _print_error(fault)
            status = fault.exit_status
        else:
            status = errors.DONE
    return status


async def _run_statement(
    options: Options,
    statement: statements.Statement,
) -> None:
    if isinstance(statement, statements.SettingsCheck):
        answer = execute.check_settings(statement)
    else:
        answer = await _execute(options, statement)
    sys.stdout.write(output.render(answer, options.output_format))
    sys.stdout.write('\n')


async def _execute(
    options: Options,
    statement: statements.Statement,
) -> output.Answer:
    if not options.settings_path:
        raise errors.UsageError('--settings FILE is needed')
    loaded = settings.load(options.settings_path)
    async with exchanges.new_session() as session:
        context = sources.Context(
            loaded, session, _progress, wait_ms=options.wait_ms
        )
        return await execute.execute(context, statement)


def _file_lines(path: str) -> list[str]:
    try:
        lines = pathlib.Path(path).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as fault:
        raise errors.UsageError(f'{path} can not be read: {fault}') from fault
    stripped = [line.strip() for line in lines]
    return [
        line
        for line in stripped
        if line and not line.startswith(_COMMENT_PREFIX)
    ]


def _progress(line: str) -> None:
    sys.stderr.write(f'{line}\n')


def _print_error(fault: errors.CommandError) -> None:
    sys.stderr.write(f'yuccactl: {fault.message}\n')
