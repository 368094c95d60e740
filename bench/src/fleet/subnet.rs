//! Loopback address ranges for fleets, so that several fleets can run on one machine at once.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Port that a fleet keeps bound to mark its subnet as in use.
const CLAIM_PORT: u16 = 6999;
/// Range of the second address octet that a fleet may claim.
const OCTETS: std::ops::RangeInclusive<u8> = 10..=250;
/// Fourth address octet of the first backend server in a failure domain. Hosts have lower ones.
const FIRST_BACKEND: u8 = 128;

/// Number of subnets that this process has claimed so far.
static CLAIMS: AtomicU32 = AtomicU32::new(0);

/// Address range 127.x.0.0/16, where no other fleet on the machine uses the same x. Dropping this
/// frees the range.
#[derive(Debug)]
pub struct Subnet {
    /// Second octet of the addresses.
    octet: u8,
    /// Bound port that marks the subnet as in use.
    _claim: TcpListener,
}

impl Subnet {
    /// Claims the first free subnet, starting the search at a different one in each process and
    /// call, since the listeners of an earlier fleet may take a while to close.
    ///
    /// # Panics
    ///
    /// Panics if every subnet is in use.
    pub fn claim() -> Self {
        let count = u32::from(OCTETS.end() - OCTETS.start()) + 1;
        let earlier = CLAIMS.fetch_add(1, Ordering::Relaxed);
        let start = (std::process::id() % count + earlier) % count;
        (0..count)
            .map(|i| OCTETS.start() + ((start + i) % count) as u8)
            .find_map(|octet| {
                let address = Ipv4Addr::new(127, octet, 0, 1);
                let claim = TcpListener::bind((address, CLAIM_PORT)).ok()?;
                Some(Self {
                    octet,
                    _claim: claim,
                })
            })
            .expect("no free loopback subnet")
    }

    fn address(&self, third: u8, fourth: u8) -> IpAddr {
        Ipv4Addr::new(127, self.octet, third, fourth).into()
    }

    /// Address of the platform's stand-ins.
    pub fn platform(&self) -> IpAddr {
        self.address(0, 1)
    }

    /// Address of an entry host of a failure domain.
    pub fn host(&self, domain: usize, host: usize) -> IpAddr {
        self.address(third_octet(domain), octet(host + 1))
    }

    /// Address of a backend server of a failure domain.
    pub fn backend(&self, domain: usize, backend: usize) -> IpAddr {
        let fourth = octet(usize::from(FIRST_BACKEND) + backend);
        self.address(third_octet(domain), fourth)
    }
}

fn third_octet(domain: usize) -> u8 {
    octet(domain + 1)
}

fn octet(number: usize) -> u8 {
    u8::try_from(number).expect("address octet exceeds 255")
}

/// Socket address of a port.
pub(crate) fn socket_addr(address: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(address, port)
}
