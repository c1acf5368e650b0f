"""Weighted max-min fair division of a capacity."""

from __future__ import annotations

from collections.abc import Mapping


class Claimant:
    """Participant in the division of a capacity.

    Parameters
    ----------
    weight
        Relative share when the capacity is scarce.
    demand
        The most that the claimant can use.
    """

    __slots__ = ("demand", "weight")

    def __init__(self, *, weight: float, demand: float) -> None:
        self.weight = weight
        self.demand = demand


def weighted_max_min(claimants: Mapping[str, Claimant], capacity: float) -> dict[str, float]:
    """Divide a capacity max-min fairly by weight.

    No claimant can get more without taking from one that has less in proportion to its weight.

    Parameters
    ----------
    claimants
        Claimants by name; weights are positive.
    capacity
        Capacity to divide, in the unit of the demands.

    Returns
    -------
    dict of str to float
        Share of each claimant, at most its demand. The shares sum to the capacity or to the total
        demand, whichever is less.
    """
    shares = dict.fromkeys(claimants, 0.0)
    unsatisfied = {name: claimant for name, claimant in claimants.items() if claimant.demand > 0}
    remaining = capacity
    while unsatisfied and remaining > 0:
        total_weight = sum(claimant.weight for claimant in unsatisfied.values())
        level = remaining / total_weight
        satisfied = [
            name
            for name, claimant in unsatisfied.items()
            if claimant.demand <= claimant.weight * level
        ]
        if not satisfied:
            for name, claimant in unsatisfied.items():
                shares[name] = claimant.weight * level
            break
        for name in satisfied:
            shares[name] = unsatisfied[name].demand
            remaining -= unsatisfied.pop(name).demand
    return shares


__all__ = ["Claimant", "weighted_max_min"]
