//! The memory of a body while it is received and held.

use std::io;

use hyper::body::Bytes;
use memmap2::{Advice, MmapMut};

/// The size up to which a body is on the heap, in bytes.
const HEAP_BYTES: usize = 16 << 10;
/// The least capacity of a larger body, in bytes.
const LEAST_MAPPED: usize = 1 << 20;
/// How many times the capacity of a body grows at once.
const GROWTH: usize = 4;

/// The bytes of a body that have arrived.
///
/// A body over 16 KB has pages of its own: the system provides them as bytes are written,
/// and takes them back when the body is dropped. The heap gives large blocks that were used
/// before, so a body held its capacity instead of its bytes, and freed blocks stayed with
/// the process.
#[derive(Debug)]
pub(super) enum BodyBuffer {
    Heap(Vec<u8>),
    Mapped(Pages),
}

/// Pages of which the first bytes are written.
#[derive(Debug)]
pub(super) struct Pages {
    pages: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for Pages {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.length]
    }
}

impl BodyBuffer {
    pub const fn new() -> Self {
        Self::Heap(Vec::new())
    }

    pub fn len(&self) -> usize {
        self.bytes().len()
    }

    fn bytes(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(pages) => pages.as_ref(),
        }
    }

    fn capacity(&self) -> usize {
        match self {
            Self::Heap(bytes) => bytes.capacity(),
            Self::Mapped(pages) => pages.pages.len(),
        }
    }

    /// Makes room for `size` bytes in all, of a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no address space.
    pub fn reserve(&mut self, size: usize, limit: usize) -> io::Result<()> {
        if size <= self.capacity() {
            return Ok(());
        }
        match self {
            Self::Heap(bytes) if size <= HEAP_BYTES => bytes.reserve_exact(size - bytes.len()),
            Self::Heap(_) | Self::Mapped(_) => {
                let grown = (self.capacity() * GROWTH).max(LEAST_MAPPED);
                let mut pages = MmapMut::map_anon(size.max(grown.min(limit)))?;
                // Huge pages would make a body hold up to 2 MB more than its bytes.
                let _ = pages.advise(Advice::NoHugePage);
                let length = self.len();
                pages[..length].copy_from_slice(self.bytes());
                *self = Self::Mapped(Pages { pages, length });
            }
        }
        Ok(())
    }

    /// Appends bytes, for which there is room.
    pub fn push(&mut self, more: &[u8]) {
        match self {
            Self::Heap(bytes) => bytes.extend_from_slice(more),
            Self::Mapped(Pages { pages, length }) => {
                pages[*length..][..more.len()].copy_from_slice(more);
                *length += more.len();
            }
        }
    }

    pub fn into_bytes(self) -> Bytes {
        match self {
            Self::Heap(bytes) => bytes.into(),
            Self::Mapped(pages) => Bytes::from_owner(pages),
        }
    }
}
