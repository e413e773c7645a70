"""JSON format of the configuration that balancers fetch from each other."""

import json
from typing import Any

from fescueseam.exceptions import MessageError
from fescueseam.handshake.rules import Route, RouteShare, Rules, ServiceRules, validate_rules
from fescueseam.overload.needs import RouteNeeds


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
        # A list of its own, which balancers of earlier builds ignore.
        "needs": [_encode_needs(route.needs) for route in rules.routes],
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_rules(data: bytes) -> Rules:
    """Decode a configuration; raise MessageError if it is not valid."""
    try:
        value: dict[str, Any] = json.loads(data)
        # A balancer of an earlier build states no needs.
        needs = value["needs"] if "needs" in value else [None] * len(value["routes"])
        rules = Rules(
            version=int(value["version"]),
            routes=tuple(
                Route(
                    str(name),
                    int(address),
                    int(port),
                    tuple(RouteShare(str(service), float(weight)) for service, weight in shares),
                    _decode_needs(item),
                )
                for (name, address, port, shares), item in zip(value["routes"], needs, strict=True)
            ),
            services=tuple(
                ServiceRules(str(name), float(bound)) for name, bound in value["services"]
            ),
            idle_timeout_s=float(value["idle_timeout_s"]),
        )
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as exc:
        raise MessageError(f"configuration of a peer is not valid: {exc}") from exc
    return validate_rules(rules)


def _encode_needs(needs: RouteNeeds | None) -> list[float] | None:
    return None if needs is None else [needs.target_s, needs.limit_s, needs.priority]


def _decode_needs(value: Any) -> RouteNeeds | None:
    if value is None:
        return None
    target_s, limit_s, priority = value
    return RouteNeeds(float(target_s), float(limit_s), int(priority))
