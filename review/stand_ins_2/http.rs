//! HTTP/1.1 as far as the stand-ins need it: blocking, with the standard library only.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Start line and headers of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn parse(text: &str) -> Self {
        let mut lines = text.lines();
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Self { start, headers }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Status of a response, 0 if it is unreadable.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what has been read and not used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more. Returns false at the end of the connection.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Number of bytes that have been read and not used.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// The next head, `None` if the connection ends before it.
    pub fn read_head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 4);
                return Ok(Some(Head::parse(&text)));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn read_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    /// Reads a body in parts. An error says that it is not complete.
    pub fn read_body(
        &mut self,
        head: &Head,
        is_response: bool,
        mut on_part: impl FnMut(&[u8]),
    ) -> std::io::Result<()> {
        if head.get("transfer-encoding").is_some() {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
                let part = self.read_exactly(size)?;
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
                on_part(&part);
            }
        }
        if let Some(length) = head.get("content-length") {
            let length = length.parse().unwrap_or(0);
            on_part(&self.read_exactly(length)?);
            return Ok(());
        }
        if is_response {
            while self.fill()? {}
            on_part(&std::mem::take(&mut self.buf));
        }
        Ok(())
    }
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// What a client has got for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if no head of an answer came.
    pub status: u16,
    pub head: Head,
    #[allow(dead_code)]
    pub body: Vec<u8>,
    /// Whether the answer is complete.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    fn none(since: Instant) -> Self {
        Self {
            status: 0,
            head: Head::default(),
            body: Vec::new(),
            is_complete: false,
            took: since.elapsed(),
        }
    }

    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// Sends a request on a new connection and reads the whole answer, for `patience` at most.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    let since = Instant::now();
    let Ok(mut conn) = Conn::connect(address, Duration::from_secs(1)) else {
        return Answer::none(since);
    };
    let _ = conn.stream.set_read_timeout(Some(patience));
    if conn.stream.write_all(request).is_err() {
        return Answer::none(since);
    }
    let Ok(Some(head)) = conn.read_head() else {
        return Answer::none(since);
    };
    let mut body = Vec::new();
    let read = conn.read_body(&head, true, |part| body.extend_from_slice(part));
    Answer {
        status: head.status(),
        head,
        body,
        is_complete: read.is_ok(),
        took: since.elapsed(),
    }
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddressV4, len: u32) -> i32;
    fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
}

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const RLIMIT_NOFILE: i32 = 7;

/// Connects with a receive buffer of a size, which has to be set before.
pub fn connect_with_buffer(to: SocketAddr, bytes: i32) -> std::io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(to) = to else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    let address = SocketAddressV4 {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are valid for the calls, and the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        match connect(fd, &address, 16) {
            0 => Ok(stream),
            _ => Err(std::io::Error::last_os_error()),
        }
    }
}

/// Allows this process as many descriptors as it may have.
pub fn raise_descriptor_limit() {
    let mut limit = [0; 2];
    // SAFETY: the pointer is valid for the calls.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) == 0 {
            limit[0] = limit[1].min(8_192);
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }
}
