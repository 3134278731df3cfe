"""Content-defined chunks of a file, their references and their cache.

A reference consists of the digest of a chunk and the tag of the attempt
that wrote it. A reference that was removed from the root is never added
again, so its chunk can be deleted without a race against a concurrent
change.
"""

import hashlib
import threading
import time
import zlib

MIN_CHUNK_BYTES = 4 << 10
MAX_CHUNK_BYTES = 64 << 10
# On average one line in this many may end a chunk.
LINES_PER_BOUNDARY = 64
DIGEST_BYTES = 20
CACHE_GRACE_SECONDS = 30.0


def split_text(body):
    """Split bytes into chunks at boundaries that depend on the content.

    A chunk ends after a line whose checksum meets a condition, so that a
    change of one line changes only the chunks around it.

    Parameters
    ----------
    body : bytes
        The bytes to split.

    Returns
    -------
    list of bytes

    Examples
    --------
    >>> split_text(b"")
    [b'']
    >>> b"".join(split_text(b"a" * 100_000)) == b"a" * 100_000
    True
    """
    chunks = []
    current = bytearray()
    for line in body.splitlines(keepends=True):
        while len(current) + len(line) > MAX_CHUNK_BYTES:
            room = MAX_CHUNK_BYTES - len(current)
            chunks.append(bytes(current) + line[:room])
            line = line[room:]
            current.clear()
        current += line
        is_boundary = zlib.crc32(line) % LINES_PER_BOUNDARY == 0
        if is_boundary and len(current) >= MIN_CHUNK_BYTES:
            chunks.append(bytes(current))
            current.clear()
    if current or not chunks:
        chunks.append(bytes(current))
    return chunks


def chunk_digest(chunk):
    """Return the BLAKE2b digest of a chunk in hexadecimal."""
    return hashlib.blake2b(chunk, digest_size=DIGEST_BYTES).hexdigest()


def make_reference(chunk, tag):
    """Return the reference of a chunk.

    Parameters
    ----------
    chunk : bytes
        The chunk.
    tag : str
        Identifies the attempt that writes the chunk.

    Returns
    -------
    str
    """
    return f"{chunk_digest(chunk)}.{tag}"


def is_intact(reference, chunk):
    """Return whether a chunk matches the digest in its reference.

    Examples
    --------
    >>> is_intact(make_reference(b"a", "1"), b"a")
    True
    >>> is_intact(make_reference(b"a", "1"), b"b")
    False
    """
    return reference.partition(".")[0] == chunk_digest(chunk)


class ChunkCache:
    """Thread-safe cache of chunks by reference.

    Chunks that are not passed to `retain` stay for `CACHE_GRACE_SECONDS`
    after they were added, since they may belong to a revision that is
    still being read.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._chunks = {}
        self._keep_until = {}

    def __len__(self):
        return len(self._chunks)

    @property
    def size_bytes(self):
        """Total size of the chunks in bytes."""
        with self._lock:
            return sum(map(len, self._chunks.values()))

    def get(self, reference):
        """Return the chunk of a reference, or None if it is not cached."""
        return self._chunks.get(reference)

    def put(self, reference, chunk):
        """Add a chunk and restart its grace period."""
        with self._lock:
            self._chunks[reference] = chunk
            self._keep_until[reference] = (
                time.monotonic() + CACHE_GRACE_SECONDS
            )

    def missing(self, references):
        """Return those references whose chunks are not cached."""
        return [r for r in references if r not in self._chunks]

    def retain(self, references):
        """Evict chunks past their grace period, except the given ones."""
        retained = set(references)
        now = time.monotonic()
        with self._lock:
            for reference, deadline in list(self._keep_until.items()):
                if reference not in retained and now >= deadline:
                    del self._chunks[reference]
                    del self._keep_until[reference]
