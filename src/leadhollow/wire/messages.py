"""Frame kinds, and the body types of frames with their numbers on the wire."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, TypeAlias

from leadhollow.wire.generated import ttypes

Body: TypeAlias = Any  # generated classes carry no annotations


class FrameKind(IntEnum):
    """Role of a frame within its call."""

    REQUEST = 1
    RESPONSE = 2
    ITEM = 3
    END = 4
    CANCEL = 5
    ERROR = 6
    ONEWAY = 7


BODY_TYPES: dict[int, type[Any]] = {
    1: ttypes.Hello,
    2: ttypes.Done,
    10: ttypes.VoteRequest,
    11: ttypes.VoteReply,
    12: ttypes.AppendRequest,
    13: ttypes.AppendReply,
    14: ttypes.SnapshotRequest,
    15: ttypes.ProposeRequest,
    16: ttypes.ProposeReply,
    17: ttypes.StateProbe,
    18: ttypes.StateProbeReply,
    19: ttypes.LeaseRenewal,
    24: ttypes.LeaseRenewalReply,
    20: ttypes.CatalogWatch,
    21: ttypes.CatalogUpdate,
    22: ttypes.AppliedReport,
    23: ttypes.DomainApplied,
    30: ttypes.Announcement,
    31: ttypes.DomainSummary,
    32: ttypes.ViewWatch,
    33: ttypes.ViewUpdate,
    34: ttypes.Heartbeat,
    40: ttypes.Order,
    41: ttypes.DemandReport,
    42: ttypes.ShareLease,
    50: ttypes.Dispatch,
    51: ttypes.Output,
    52: ttypes.Tombstone,
    53: ttypes.TombstoneReply,
    60: ttypes.SwarmJoin,
    61: ttypes.SwarmNeighbours,
    62: ttypes.OriginLeaseRequest,
    63: ttypes.OriginLease,
    64: ttypes.HaveWatch,
    65: ttypes.HaveUpdate,
    66: ttypes.ChunkRequest,
    67: ttypes.ChunkReply,
    70: ttypes.StandNow,
    71: ttypes.JoinRequest,
    72: ttypes.JoinReply,
    73: ttypes.ReadIndexRequest,
    74: ttypes.ReadIndexReply,
    75: ttypes.RequestPart,
    80: ttypes.FeedWatch,
    81: ttypes.FeedUpdate,
    82: ttypes.FeedProbe,
    83: ttypes.FeedProbeReply,
    84: ttypes.RegistryPush,
    85: ttypes.LoadReport,
    86: ttypes.UseReport,
    87: ttypes.UseTotals,
    88: ttypes.SuspectNews,
    92: ttypes.SuspectQuery,
    93: ttypes.SuspectRelease,
    96: ttypes.LimitNews,
    97: ttypes.LimitLeases,
    98: ttypes.ServerWords,
    99: ttypes.StandingQuery,
    100: ttypes.ServerStandings,
    101: ttypes.SuspectWatch,
    110: ttypes.DomainOrder,
    111: ttypes.DomainQuery,
    112: ttypes.DomainStandings,
    90: ttypes.PieceWatch,
    91: ttypes.PieceNews,
    94: ttypes.SliceRequest,
    95: ttypes.SliceReply,
}
"""Body types by number. Numbers are never reused; a new body type gets a new number."""

BODY_NUMBERS: dict[type[Any], int] = {body: number for number, body in BODY_TYPES.items()}

__all__ = ["BODY_NUMBERS", "BODY_TYPES", "Body", "FrameKind"]
