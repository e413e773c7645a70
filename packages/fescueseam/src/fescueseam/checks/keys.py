"""Check the shared keys of processes; no fault shows a secret."""

from collections.abc import Iterable, Iterator

from fescueseam.checks.faults import Fault, FaultId

MIN_SECRET_LENGTH = 32
MAX_KEY_ID = 255


def check_key_values(keys: Iterable[tuple[int, str]], file_name: str = "") -> Iterator[Fault]:
    """Report invalid or repeated key ids and short secrets of pairs of key id and secret."""
    seen_ids: set[int] = set()
    for index, (key_id, secret) in enumerate(keys):
        path = f"keys[{index}]"
        if not 0 <= key_id <= MAX_KEY_ID:
            hint = f"use 0 to {MAX_KEY_ID}"
            message = f"{key_id:g} is out of range"
            yield Fault(FaultId.OUT_OF_RANGE, f"{path}.key_id", message, hint, file_name)
        if key_id in seen_ids:
            message = f"the id {key_id} is used twice"
            yield Fault(FaultId.BAD_KEY, f"{path}.key_id", message, "", file_name)
        seen_ids.add(key_id)
        if len(secret) < MIN_SECRET_LENGTH:
            message = f"the secret has {len(secret)} characters"
            hint = f"use at least {MIN_SECRET_LENGTH}"
            yield Fault(FaultId.BAD_KEY, f"{path}.secret", message, hint, file_name)
