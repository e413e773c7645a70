"""JSON format of the configuration that balancers fetch from each other."""

import json
from typing import Any

from fescueseam.exceptions import MessageError
from fescueseam.handshake.rules import Route, RouteShare, Rules, ServiceRules, validate_rules


def encode_rules(rules: Rules) -> bytes:
    """Encode a configuration as JSON."""
    value = {
        "version": rules.version,
        "idle_timeout_s": rules.idle_timeout_s,
        "services": [[item.name, item.cold_openings_per_s] for item in rules.services],
        "routes": [
            [
                route.name,
                route.address,
                route.port,
                [[share.service, share.weight] for share in route.shares],
            ]
            for route in rules.routes
        ],
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_rules(data: bytes) -> Rules:
    """Decode a configuration; raise MessageError if it is not valid."""
    try:
        value: dict[str, Any] = json.loads(data)
        rules = Rules(
            version=int(value["version"]),
            routes=tuple(
                Route(
                    str(name),
                    int(address),
                    int(port),
                    tuple(RouteShare(str(service), float(weight)) for service, weight in shares),
                )
                for name, address, port, shares in value["routes"]
            ),
            services=tuple(
                ServiceRules(str(name), float(bound)) for name, bound in value["services"]
            ),
            idle_timeout_s=float(value["idle_timeout_s"]),
        )
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as exc:
        raise MessageError(f"configuration of a peer is not valid: {exc}") from exc
    return validate_rules(rules)
