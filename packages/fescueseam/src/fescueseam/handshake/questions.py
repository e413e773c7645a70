"""Questions for the homes of flows: their budget, and batches of them in one notice."""

from attrs import define

from fescueseam.handshake.effects import Effects, SendNotice
from fescueseam.handshake.notices import Locate, LocateBatch
from fescueseam.handshake.segments import FlowId

QUESTIONS_PER_S = 1000.0
"""Number of questions that a balancer sends per second at most. With their answers they take about
a quarter of the smallest processor and of a link of 5 Mbit/s."""
QUESTIONS_BURST = 1000.0
"""Largest number of questions sent at once: a round of questions in a large fleet."""
BATCH_FLOWS_LIMIT = 64
"""Largest number of flows in one notice, so that its answer fits into one packet of a link."""


@define
class QuestionBudget:
    """A token bucket for the notices that ask for the homes of flows."""

    tokens: float = QUESTIONS_BURST
    share: float = 1.0
    """Factor on the rate, by what the machine has and whether it is behind."""
    _refilled_at: float = 0.0

    def take(self, questions: int, now: float) -> bool:
        """Take tokens for some questions; return whether they may be sent now."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self.tokens = min(QUESTIONS_BURST, self.tokens + elapsed_s * QUESTIONS_PER_S * self.share)
        self._refilled_at = now
        if self.tokens < min(questions, QUESTIONS_BURST):
            return False
        self.tokens -= questions
        return True


def combine_questions(effects: Effects) -> Effects:
    """Return the effects with the questions to each agent joined into as few notices as possible.

    They stand at the end, as their order among other effects does not matter.
    """
    combined: Effects = []
    flows_by_agent: dict[tuple[int, str], list[FlowId]] = {}
    for effect in effects:
        if isinstance(effect, SendNotice) and isinstance(effect.body, Locate):
            key = (effect.address, effect.body.service)
            flows_by_agent.setdefault(key, []).append(effect.body.flow)
        else:
            combined.append(effect)
    for (address, service), flows in flows_by_agent.items():
        for first in range(0, len(flows), BATCH_FLOWS_LIMIT):
            chunk = tuple(flows[first : first + BATCH_FLOWS_LIMIT])
            body = Locate(chunk[0], service) if len(chunk) == 1 else LocateBatch(chunk, service)
            combined.append(SendNotice(address, body))
    return combined
