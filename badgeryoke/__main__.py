"""One real gateway: python -m badgeryoke."""

import asyncio
import logging
import os
import sys
from pathlib import Path

from badgeryoke.config import ConfigError, read_config
from badgeryoke.gateway import App


async def main() -> None:
    root = Path.cwd()
    config = read_config(os.environ, root)
    await App(config, reread=lambda: read_config(os.environ, root, again=True)).run()


if __name__ == "__main__":
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(main())
    except ConfigError as fault:
        sys.exit(f"badgeryoke: configuration: {fault}")
