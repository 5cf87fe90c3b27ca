"""The commands `serve` and `check`; adds `lab` and `demo` where the `lab` extra is installed."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import click
import ujson

from badgeryoke.gateway.config.diameter_file import read_diameter
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.operators_file import OPERATORS_FILE, OperatorsError, read_operators
from badgeryoke.gateway.config.platform_file import read_config

EXIT_BAD_FIGURE, EXIT_INVALID_INPUT, EXIT_NOT_INSTALLED, EXIT_FAILED = 1, 2, 3, 4


def print_json(value: object) -> None:
    """Print one JSON document to standard output, with sorted keys."""
    click.echo(ujson.dumps(value, sort_keys=True, escape_forward_slashes=False))


EXIT_CODES_HELP = (
    "Exit codes: 0 success, 1 a figure is bad, 2 invalid input, 3 a dependency is not installed, "
    "4 execution failed."
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXIT_CODES_HELP)
@click.version_option(package_name="badgeryoke")
def cli() -> None:
    """badgeryoke: a gateway that keeps each customer of shared servers to its plan.

    \b
    Example, the first thing to run:
        badgeryoke demo --seconds 20
    """


@cli.command()
def serve() -> None:
    """Run one gateway, as `python -m badgeryoke` does.

    It reads LB_CONFIG, LB_NAME, LB_LISTEN and LB_DISCOVERY, and deploy/badgeryoke.toml in the current
    folder.

    \b
    Example:
        LB_CONFIG=config.json badgeryoke serve
    """
    from badgeryoke.__main__ import main

    try:
        asyncio.run(main())
    except ConfigError as fault:
        click.echo(f"badgeryoke: configuration: {fault}", err=True)
        sys.exit(EXIT_INVALID_INPUT)


@cli.command()
@click.argument("file", type=click.Path(path_type=Path), default=Path("deploy") / OPERATORS_FILE)
@click.option("--json", "as_json", is_flag=True, help="One JSON document instead of lines.")
def check(file: Path, as_json: bool) -> None:
    """Check a configuration FILE: the operators' .toml, or the platform's .json.

    Prints each fault with its key; the exit code is 2 if there is any.

    \b
    Examples:
        badgeryoke check deploy/badgeryoke.toml
        badgeryoke check /run/balancer/config.json --json
    """
    faults: list[str] = []
    if not file.exists():
        faults = [f"{file}: there is no such file"]
    elif file.suffix == ".json":
        try:
            read_config({**os.environ, "LB_CONFIG": str(file)}, Path.cwd())
        except ConfigError as fault:
            faults = [str(fault)]
    elif file.name == "diameter.toml":
        from badgeryoke.decisions.interface import Settings

        try:
            read_diameter(file, Settings(0, 1, "", 1.0, (), ()))
        except ConfigError as fault:
            faults = [str(fault)]
    else:
        try:
            read_operators(file, all_sections=True)
        except OperatorsError as fault:
            faults = fault.faults
    if as_json:
        print_json({"file": str(file), "good": not faults, "faults": faults})
    else:
        for line in faults or [f"{file}: good"]:
            click.echo(line, err=bool(faults))
    sys.exit(EXIT_INVALID_INPUT if faults else 0)


def _add_lab_commands() -> None:
    """Add `lab` and `demo`; without the `lab` extra, both only report the missing dependency."""
    try:
        from badgeryoke.testbed.commands import demo, lab
    except ImportError as fault:

        @cli.command(name="lab", context_settings={"ignore_unknown_options": True})
        @click.argument("words", nargs=-1)
        def lab_missing(words: tuple[str, ...], missing: str | None = fault.name) -> None:
            """Emulated fleets and scenarios (not installed)."""
            click.echo(f"badgeryoke: the laboratory needs {missing}: pip install 'badgeryoke[lab]'", err=True)
            sys.exit(EXIT_NOT_INSTALLED)

        cli.add_command(lab_missing, "demo")
        return
    cli.add_command(lab)
    cli.add_command(demo)


def run() -> None:
    """The entry point of the console script."""
    _add_lab_commands()
    cli(prog_name="badgeryoke")


if __name__ == "__main__":
    run()
