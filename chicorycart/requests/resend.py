"""Decides whether a request may be sent again."""

from chicorycart.requests.budget import RetryBudget
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.errors import NotRunError
from chicorycart.requests.errors import RequestError
from chicorycart.requests.errors import TargetUnavailableError
from chicorycart.requests.message import Request


def may_resend(
    request: Request, error: RequestError, now: float, budget: RetryBudget
) -> bool:
    """Tell whether a request may be sent to a (further) peer agent.

    This needs a request that was surely not run or that is idempotent, a
    body that can be replayed, and a token of the retry budget. A request
    that was never sent because the own target takes no new work needs no
    token: only one target receives it, and there are no more such requests
    than open connections.

    Parameters
    ----------
    request : Request
        The request.
    error : RequestError
        How the last attempt failed.
    now : float
        Time on the clock of the request's deadline.
    budget : RetryBudget
        Gives the token.
    """
    is_safe = isinstance(error, NotRunError) or request.is_idempotent
    if not is_safe or request.is_forwarded or not request.body.can_replay:
        return False
    if isinstance(error, BadRequestError):
        return False
    if now >= request.deadline:
        return False
    return isinstance(error, TargetUnavailableError) or budget.try_acquire()
