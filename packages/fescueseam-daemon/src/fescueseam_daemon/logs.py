"""Configure logging to standard error as JSON or text."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(log_format: str, instance: str) -> None:
    """Configure the root logger to write one JSON object, or one line of text, for each record."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FIELDS, static_fields={"instance": instance}))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # These libraries log every request to the store, which would hide the daemon's own lines.
    for name in ("httpx", "httpcore"):
        logging.getLogger(name).setLevel(logging.WARNING)
