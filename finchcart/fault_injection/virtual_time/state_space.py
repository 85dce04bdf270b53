"""The frame of a bounded exhaustive search: states that are to be entered, and those met before.

Owns the order of the search, which states are entered and the wording of a breach. A simulation says what
may come next, how it is carried out and by what a state is known again. A state met before with at least as
much of its budget left is not entered again; no branch is cut for any other reason. States are held pickled,
so that each choice is made from the same one.
"""

import pickle
from abc import ABC, abstractmethod
from collections.abc import Hashable, Sequence
from typing import Generic, NamedTuple, TypeVar

from finchcart.fault_injection.virtual_time.invariants import InvariantError

StateT = TypeVar("StateT")
ChoiceT = TypeVar("ChoiceT")

Budget = tuple[int, ...]  # what is left, such as (steps, faults)
NO_BOUND = 10**9  # states


class SearchResult(NamedTuple):
    """How many states were met, and the first breach with what led to it, or None."""

    states: int
    breach: str | None


class Branch(NamedTuple):
    """A state that is to be entered, and the choices that led to it."""

    state: bytes  # pickled
    budget: Budget
    path: tuple[str, ...]


class StateSpaceSearch(ABC, Generic[StateT, ChoiceT]):
    """A depth-first search; `share` (k, n) plays the k-th of n parts of the first choices."""

    def __init__(self, share: tuple[int, int] = (0, 1)) -> None:
        self.share = share
        self.count = 0
        self.stack: list[Branch] = []
        self.met: dict[Hashable, list[Budget]] = {}

    # ---- what a search has to say

    @abstractmethod
    def choices(self, state: StateT, budget: Budget) -> Sequence[ChoiceT]:
        """Return all that may come next; nothing where the search ends."""

    @abstractmethod
    def perform(self, state: StateT, choice: ChoiceT) -> None:
        """Carry out a choice; raise an `InvariantError` where a property does not hold."""

    @abstractmethod
    def label(self, state: StateT, choice: ChoiceT) -> str:
        """Return what a path says of a choice that led to this state."""

    @abstractmethod
    def budget_after(self, budget: Budget, choice: ChoiceT) -> Budget:
        """Return what is left after a choice."""

    @abstractmethod
    def key(self, state: StateT) -> Hashable:
        """Return by what a state is known again."""

    def is_in_share(self, number: int) -> bool:
        """Whether the first choice of that number is in this search's part."""
        part, parts = self.share
        return number % parts == part

    def extends_path(self, choice: ChoiceT) -> bool:
        """Whether a path tells of this choice."""
        return True

    def is_final(self, budget: Budget) -> bool:
        """Whether a state with this budget is counted, and not entered."""
        return False

    # ---- the search

    def explore(self, state: StateT, budget: Budget, most: int = NO_BOUND) -> SearchResult:
        """Search from this state, up to the first breach or to about `most` states."""
        self.stack.append(Branch(pickle.dumps(state), budget, ()))
        while self.stack and self.count < most:
            breach = self._enter(self.stack.pop())
            if breach:
                return SearchResult(self.count, breach)
        return SearchResult(self.count, None)

    def _enter(self, branch: Branch) -> str | None:
        """Try all that may come next; return the first breach with what led to it."""
        choices = self.choices(pickle.loads(branch.state), branch.budget)
        for number, choice in enumerate(choices):
            if not branch.path and not self.is_in_share(number):
                continue
            following: StateT = pickle.loads(branch.state)
            try:
                self.perform(following, choice)
            except InvariantError as error:
                return f"{'; '.join([*branch.path, self.label(following, choice)])}: {error}"
            self._push(following, branch, choice)
        return None

    def _push(self, state: StateT, branch: Branch, choice: ChoiceT) -> None:
        left = self.budget_after(branch.budget, choice)
        met = self.met.setdefault(self.key(state), [])
        if any(_covers(earlier, left) for earlier in met):
            return
        met.append(left)
        self.count += 1
        if not self.is_final(left):
            path = branch.path
            if self.extends_path(choice):
                path = (*path, self.label(state, choice))
            self.stack.append(Branch(pickle.dumps(state), left, path))


def _covers(earlier: Budget, left: Budget) -> bool:
    """Whether a budget is in no part smaller than another."""
    return all(before >= now for before, now in zip(earlier, left, strict=True))
