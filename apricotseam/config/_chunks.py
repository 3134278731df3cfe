"""Chunks of a file: where it is cut, how chunks are named and kept.

A reference is the digest of a chunk and a tag of the change that wrote
it. A reference that once left the root never comes back, so its chunk
can be deleted without a race against a change that is under way.
"""

import hashlib
import threading
import time
import zlib

MIN_CHUNK_BYTES = 4 << 10
MAX_CHUNK_BYTES = 64 << 10
LINES_A_CUT = 64
DIGEST_BYTES = 20
CACHE_GRACE_SECONDS = 30.0


def split_text(body):
    """Cut bytes into chunks at lines that their content chooses.

    A change of one line changes the chunk around it and leaves the others
    as they are.

    Parameters
    ----------
    body : bytes
        What is to be cut.

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
        is_cut = zlib.crc32(line) % LINES_A_CUT == 0
        if is_cut and len(current) >= MIN_CHUNK_BYTES:
            chunks.append(bytes(current))
            current.clear()
    if current or not chunks:
        chunks.append(bytes(current))
    return chunks


def chunk_digest(chunk):
    """Return the digest of a chunk in hexadecimal."""
    return hashlib.blake2b(chunk, digest_size=DIGEST_BYTES).hexdigest()


def make_reference(chunk, tag):
    """Return the reference of a chunk that a change writes."""
    return f"{chunk_digest(chunk)}.{tag}"


def is_intact(reference, chunk):
    """Return whether a chunk is what its reference says.

    Examples
    --------
    >>> is_intact(make_reference(b"a", "1"), b"a")
    True
    >>> is_intact(make_reference(b"a", "1"), b"b")
    False
    """
    return reference.partition(".")[0] == chunk_digest(chunk)


class ChunkCache:
    """Chunks by reference; safe to use from several threads.

    Chunks that nothing names yet are kept for a while, since they may
    belong to a revision that is being read.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._chunks = {}
        self._deadlines = {}

    def __len__(self):
        return len(self._chunks)

    @property
    def size_bytes(self):
        """Bytes of all chunks."""
        with self._lock:
            return sum(map(len, self._chunks.values()))

    def get(self, reference):
        """Return a chunk or None."""
        return self._chunks.get(reference)

    def put(self, reference, chunk):
        """Keep a chunk."""
        with self._lock:
            self._chunks[reference] = chunk
            self._deadlines[reference] = time.monotonic() + CACHE_GRACE_SECONDS

    def missing(self, references):
        """Return the references whose chunks are not here."""
        return [r for r in references if r not in self._chunks]

    def retain(self, references):
        """Drop old chunks that are not of the references."""
        kept = set(references)
        now = time.monotonic()
        with self._lock:
            for reference, deadline in list(self._deadlines.items()):
                if reference not in kept and now >= deadline:
                    del self._chunks[reference]
                    del self._deadlines[reference]
