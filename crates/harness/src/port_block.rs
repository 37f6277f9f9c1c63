use miette::{Result, miette};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Ports of one block.
const BLOCK_PORTS: u16 = 1_000;

/// First port of the first block. All blocks are below the range from which the system takes ports
/// for outgoing connections, so that no connection can take a port of a listener.
const FIRST_PORT: u16 = 10_000;

/// Number of blocks.
const BLOCKS: u16 = 22;

/// Blocks of the example deployments, which the quick start uses while tests may run.
const EXAMPLE_BLOCKS: [u16; 2] = [21_000, 23_000];

/// A block of ports that no other test process uses while this value lives.
#[derive(Debug)]
pub struct PortBlock {
    base: u16,
    /// Listens on the last port of the block, which marks the block as taken.
    _guard: TcpListener,
}

impl PortBlock {
    /// Takes a free block.
    pub fn take() -> Result<Self> {
        let start = std::process::id() as u16 % BLOCKS;
        (0..BLOCKS)
            .map(|i| FIRST_PORT + (start + i) % BLOCKS * BLOCK_PORTS)
            .filter(|base| !EXAMPLE_BLOCKS.contains(base))
            .find_map(|base| {
                let guard =
                    TcpListener::bind((Ipv4Addr::LOCALHOST, base + BLOCK_PORTS - 1)).ok()?;
                Some(PortBlock {
                    base,
                    _guard: guard,
                })
            })
            .ok_or_else(|| miette!("all {BLOCKS} port blocks are in use"))
    }

    /// First port of the block.
    pub fn base(&self) -> u16 {
        self.base
    }

    /// Loopback address with the port at this offset.
    pub fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.base + offset))
    }
}
