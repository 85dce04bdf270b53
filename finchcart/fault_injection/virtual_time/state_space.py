"""Provides a bounded exhaustive search through the states of a simulation.

The search determines the order of exploration, which states are expanded and how a violation is reported.
Subclasses define the choices in a state, their execution and the key that identifies equal states. A state
is not expanded again if it was visited before with at least as much budget left; no branch is pruned for
another reason. States are stored pickled, so that each choice starts from an unmodified copy.
"""

import pickle
from abc import ABC, abstractmethod
from collections.abc import Hashable, Sequence
from typing import Generic, NamedTuple, TypeVar

from finchcart.fault_injection.virtual_time.invariants import InvariantError

StateT = TypeVar("StateT")
ChoiceT = TypeVar("ChoiceT")

Budget = tuple[int, ...]  # remaining amounts, such as (steps, faults)
NO_BOUND = 10**9  # more states than any search can reach


class SearchResult(NamedTuple):
    """The number of counted states, and the first violation with the choices leading to it, or None.

    A state that is reached again with more budget left is counted again.
    """

    states: int
    breach: str | None


class Branch(NamedTuple):
    """A state that is to be expanded, and the labels of the choices that led to it."""

    state: bytes  # pickled
    budget: Budget
    path: tuple[str, ...]


class StateSpaceSearch(ABC, Generic[StateT, ChoiceT]):
    """A depth-first search.

    A search can be divided among processes: with `share` (k, n), it explores only those first choices whose
    number modulo n is k.
    """

    def __init__(self, share: tuple[int, int] = (0, 1)) -> None:
        self.share = share
        self.count = 0
        self.stack: list[Branch] = []
        self.visited: dict[Hashable, list[Budget]] = {}

    # ---- methods for subclasses

    @abstractmethod
    def choices(self, state: StateT, budget: Budget) -> Sequence[ChoiceT]:
        """Return all choices in this state, or an empty sequence if the search ends here."""

    @abstractmethod
    def perform(self, state: StateT, choice: ChoiceT) -> None:
        """Apply a choice to the state; raise `InvariantError` if an invariant is violated."""

    @abstractmethod
    def label(self, state: StateT, choice: ChoiceT) -> str:
        """Return the text for a choice in the path of a report; `state` is the state after the choice."""

    @abstractmethod
    def budget_after(self, budget: Budget, choice: ChoiceT) -> Budget:
        """Return the budget that is left after a choice."""

    @abstractmethod
    def key(self, state: StateT) -> Hashable:
        """Return a key that is equal for states that the search treats as the same."""

    def is_in_share(self, number: int) -> bool:
        """Return whether this search explores the first choice with this number."""
        part, parts = self.share
        return number % parts == part

    def extends_path(self, choice: ChoiceT) -> bool:
        """Return whether the path in a report includes this choice."""
        return True

    def is_final(self, budget: Budget) -> bool:
        """Return whether a state with this budget is counted but not expanded."""
        return False

    # ---- the search

    def explore(self, state: StateT, budget: Budget, most: int = NO_BOUND) -> SearchResult:
        """Search from this state until the first violation or until about `most` states were counted."""
        self.stack.append(Branch(pickle.dumps(state), budget, ()))
        while self.stack and self.count < most:
            breach = self._enter(self.stack.pop())
            if breach:
                return SearchResult(self.count, breach)
        return SearchResult(self.count, None)

    def _enter(self, branch: Branch) -> str | None:
        """Apply each choice to a copy of the state; return the first violation with its path, or None."""
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
        budgets = self.visited.setdefault(self.key(state), [])
        if any(_covers(earlier, left) for earlier in budgets):
            return
        budgets.append(left)
        self.count += 1
        if not self.is_final(left):
            path = branch.path
            if self.extends_path(choice):
                path = (*path, self.label(state, choice))
            self.stack.append(Branch(pickle.dumps(state), left, path))


def _covers(earlier: Budget, left: Budget) -> bool:
    """Return whether no amount of the earlier budget is smaller than in the other."""
    return all(before >= now for before, now in zip(earlier, left, strict=True))
