"""``leadhollow servers``: lists servers that drain, back off or limit their request rate."""

from __future__ import annotations

import getpass

from cleo.helpers import option

from leadhollow.cli.output import print_failure, print_json, print_table
from leadhollow.cli.replica_command import ReplicaCommand, json_option, replica_argument
from leadhollow.membership.instances import InstanceState
from leadhollow.wire.generated.ttypes import ServerStanding, ServerStandings, StandingQuery

HEADINGS = ("SERVER", "SERVICE", "DOMAIN", "ADDRESS", "STATE", "SINCE_S", "TOLD BY", "LIMIT")


class ServersCommand(ReplicaCommand):
    """Lists backend servers with their self-reports and request limits."""

    name = "servers"
    description = "List the backend servers that leave, want rest or limit what they take."
    arguments = [replica_argument()]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("all", None, "Those that take requests without a limit too.", flag=True),
        json_option(),
    ]

    def handle(self) -> int:
        """Print one line per server."""
        result = self.ask(StandingQuery(getpass.getuser()))
        if result.is_err():
            return print_failure(result.unwrap_err())
        standings: ServerStandings = result.unwrap()
        documents = [_document(standing) for standing in standings.servers or ()]
        shown = [found for found in documents if self.option("all") or _has_report(found)]
        if self.option("json"):
            print_json(shown)
        else:
            print_table(HEADINGS, [_row(found) for found in shown])
        return 0


def _document(standing: ServerStanding) -> dict[str, object]:
    instance = standing.instance
    leaving = (standing.leaving_age_ms or 0) >= 0
    rest_s = (standing.rest_ms or 0) / 1000
    return {
        "server": instance.instance,
        "born_ms": instance.born_ms,
        "service": instance.service_name,
        "failure_domain": instance.failure_domain,
        "address": instance.address,
        "state": InstanceState(instance.state).name.lower(),
        "leaving_since_s": round(standing.leaving_age_ms / 1000, 1) if leaving else None,
        "leaving_told_by": standing.leaving_told_by or None,
        "rest_left_s": round(rest_s, 1) if rest_s else None,
        "rest_told_by": standing.rest_told_by or None,
        "limit_per_s": standing.limit_per_s if (standing.limit_per_s or 0.0) >= 0 else None,
    }


def _has_report(document: dict[str, object]) -> bool:
    reported_fields = ("leaving_since_s", "rest_left_s", "limit_per_s")
    return any(document[name] is not None for name in reported_fields)


def _row(document: dict[str, object]) -> tuple[object, ...]:
    state, since, told_by = (
        document["state"],
        document["leaving_since_s"],
        document["leaving_told_by"],
    )
    if since is None and document["rest_left_s"] is not None:
        state, told_by = f"rests {document['rest_left_s']} s", document["rest_told_by"]
    return (
        document["server"],
        document["service"],
        document["failure_domain"],
        document["address"],
        state,
        "" if since is None else since,
        told_by or "",
        "" if document["limit_per_s"] is None else document["limit_per_s"],
    )


__all__ = ["ServersCommand"]
