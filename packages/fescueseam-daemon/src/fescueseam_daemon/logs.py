"""Set up structured logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(log_format: str, instance: str) -> None:
    """Write one JSON object a line, or plain text, to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FIELDS, static_fields={"instance": instance}))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # One line for each request of the store would drown the changes of state.
    for name in ("httpx", "httpcore"):
        logging.getLogger(name).setLevel(logging.WARNING)
