"""Claim a loopback network for one run, so that concurrent runs share no address."""

import functools
import os
import random
import socket

NETWORK_VARIABLE = "FESCUESEAM_TEST_NET"
"""Environment variable that names the network of a run instead of a claimed one."""
FIRST_NETWORK, LAST_NETWORK = 64, 239
"""Bounds of the second octet; the demonstrations and the fixed addresses of tests are below."""
LOCK_HOST, LOCK_PORT = "255.254", 64_998
"""Host part and port of the socket that holds a claim; a run uses no such address itself."""

_locks: list[socket.socket] = []


@functools.cache
def claim_network() -> str:
    """Return the first two octets of a network that this process holds until it ends.

    Raise OSError if every network is taken.
    """
    chosen = os.environ.get(NETWORK_VARIABLE)
    if chosen:
        return chosen
    octets = list(range(FIRST_NETWORK, LAST_NETWORK + 1))
    random.Random().shuffle(octets)
    for octet in octets:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{octet}.{LOCK_HOST}", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return f"127.{octet}"
    raise OSError("every loopback network is claimed by another run")
