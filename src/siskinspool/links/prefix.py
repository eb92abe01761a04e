"""Block hashes of a prompt prefix.

The prompt is split into blocks of fixed size. The hash of a block uses the hash of the
previous block as its seed, so that one value identifies the whole prefix up to and
including its block. Equal values at two instances mean equal prefixes, except for
64-bit collisions, which only lead to a worse choice of server.
"""

from __future__ import annotations

from typing import Final

import xxhash

# About 64 tokens of English text.
BLOCK_BYTES: Final = 256
# Limits the work for a prompt of several megabytes: 64 blocks are 16 KiB.
MAX_BLOCKS: Final = 64


def prefix_hashes(
    prompt: bytes, block_bytes: int = BLOCK_BYTES, max_blocks: int = MAX_BLOCKS
) -> tuple[int, ...]:
    """Return the chained 64-bit hashes of the full blocks, shortest prefix first.

    A partial last block has no hash. Raise ValueError if ``block_bytes`` is not
    positive.
    """
    if block_bytes <= 0:
        raise ValueError(f"block_bytes must be positive, got {block_bytes}")
    count = min(len(prompt) // block_bytes, max_blocks)
    view = memoryview(prompt)
    hashes: list[int] = []
    seed = 0
    for index in range(count):
        block = view[index * block_bytes : (index + 1) * block_bytes]
        seed = xxhash.xxh3_64_intdigest(block, seed)
        hashes.append(seed)
    return tuple(hashes)
