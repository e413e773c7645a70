import subprocess
import sys

import pytest

from fescueseam_standins.loopback import NETWORK_VARIABLE, claim_network

CLAIM_AND_WAIT = (
    "from fescueseam_standins.loopback import claim_network; "
    "print(claim_network(), flush=True); input()"
)


def test_concurrent_runs_claim_networks_of_their_own(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(NETWORK_VARIABLE, raising=False)
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", CLAIM_AND_WAIT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    networks = [run.stdout.readline().strip() for run in runs]
    for run in runs:
        run.communicate("\n")
    assert len({*networks, claim_network()}) == 5
