"""Runs one gateway process: `python -m badgeryoke`."""

import asyncio
import os
import sys
from pathlib import Path

from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.platform_file import read_config
from badgeryoke.gateway.log_format import configure_logging


async def main() -> None:
    """Serve until SIGTERM; raises ConfigError if the configuration is invalid."""
    root = Path.cwd()
    config = read_config(os.environ, root)
    configure_logging(config.operators.log.format, config.operators.log.level)
    await GatewayApplication(
        config, read_new_config=lambda: read_config(os.environ, root, is_reload=True)
    ).run()


if __name__ == "__main__":
    configure_logging()
    try:
        asyncio.run(main())
    except ConfigError as error:
        sys.exit(f"badgeryoke: configuration: {error}")
