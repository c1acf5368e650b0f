"""Identity of a replica over restarts and lost disks."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.state.identity import IDENTITY_FILE, load_identity, seed_voter

SEEDS = tuple(seed_voter(f"10.0.0.{number}:7000") for number in range(3))


def load(folder, *, address: str = "10.0.0.1:7000", first_start: bool):
    return load_identity(folder, own_address=address, seeds=SEEDS, first_start=first_start)


class TestIdentity:
    def test_seed_at_the_first_start_has_the_identity_known_to_other_seeds(self, tmp_path):
        identity = load(tmp_path, first_start=True).unwrap()
        assert identity.replica == SEEDS[1].replica
        assert identity.first_voters == SEEDS

    def test_identity_is_kept_over_a_restart(self, tmp_path):
        first = load(tmp_path, first_start=True).unwrap()
        assert load(tmp_path, first_start=False).unwrap() == first

    def test_seed_that_lost_its_disk_gets_a_new_identity(self, tmp_path):
        """It may have voted before; under its former identity it could vote a second time."""
        identity = load(tmp_path, first_start=False).unwrap()
        assert identity.replica != SEEDS[1].replica
        assert identity.first_voters == ()

    def test_replica_that_is_no_seed_gets_a_new_identity(self, tmp_path):
        identity = load(tmp_path, address="10.0.0.9:7000", first_start=True).unwrap()
        assert identity.first_voters == ()

    def test_each_disk_gets_its_own_identity(self, tmp_path):
        one = load(tmp_path / "one", first_start=False).unwrap()
        other = load(tmp_path / "other", first_start=False).unwrap()
        assert one.replica != other.replica

    def test_damaged_identity_is_refused(self, tmp_path):
        load(tmp_path, first_start=True)
        path = tmp_path / IDENTITY_FILE
        path.write_bytes(path.read_bytes()[:-1] + b"?")
        assert load(tmp_path, first_start=True).unwrap_err().code is Code.IDENTITY_DAMAGED
