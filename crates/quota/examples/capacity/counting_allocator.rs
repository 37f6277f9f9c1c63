use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with a count of the bytes in use.
pub struct CountingAllocator;

impl CountingAllocator {
    /// Bytes in use.
    pub fn live() -> usize {
        LIVE.load(Ordering::Relaxed)
    }
}

// SAFETY: all calls go to the system allocator with unchanged arguments; only a counter is added.
#[allow(unsafe_code)] // A global allocator cannot be written without it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}
