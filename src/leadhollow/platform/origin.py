"""Calls to the origin of weights, in the platform's format."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.weights.named_versions import DIGEST_BYTES, PieceManifest
from leadhollow.weights.origin_dialect import DescribedVersion

DIGEST = "sha256"


class ManifestDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Manifest of a version; ``digests`` are hexadecimal, one for each piece."""

    model: str
    version: int
    chunk_bytes: int
    digests: tuple[str, ...]
    layers: int = 1


_manifests = msgspec.json.Decoder(ManifestDocument)


class PlatformOrigin:
    """Builds and decodes the calls for manifests and pieces."""

    __slots__ = ()

    def manifest_target(self, model: str, number: int | None) -> str:
        """Return path and query of a manifest; the newest version if ``number`` is None."""
        query = "" if number is None else f"?version={number}"
        return f"/-/manifest/{model}{query}"

    def read_manifest(self, body: bytes) -> Result[DescribedVersion, Failure]:
        """Decode a manifest.

        Errors
        ------
        MANIFEST_INVALID
            It cannot be decoded, or the total length of the digests is wrong.
        """
        try:
            document = _manifests.decode(body)
            digests = b"".join(bytes.fromhex(digest) for digest in document.digests)
        except (msgspec.MsgspecError, ValueError) as error:
            return Err(Failure(code=Code.MANIFEST_INVALID, detail=str(error)))
        if len(digests) != len(document.digests) * DIGEST_BYTES[DIGEST]:
            return Err(Failure(code=Code.MANIFEST_INVALID, detail="a digest has another length"))
        manifest = PieceManifest(
            algorithm=DIGEST,
            chunk_bytes=document.chunk_bytes,
            layers=document.layers,
            digests=digests,
        )
        return Ok(
            DescribedVersion(model=document.model, number=document.version, manifest=manifest)
        )

    def piece_target(self, model: str, number: int, index: int) -> str:
        """Return path and query of one piece."""
        return f"/-/piece/{model}?pieceIndex={index}&version={number}"


__all__ = ["PlatformOrigin"]
