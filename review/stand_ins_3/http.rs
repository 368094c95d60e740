//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::fd::FromRawFd;
use std::time::Duration;

/// Longest time that a read or write may take, unless a caller sets another.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

// Constants of Linux, the same on x86-64 and arm64.
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

/// The kernel's `sockaddr_in`.
#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: u32,
    padding: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(socket: i32, address: *const Address, len: u32) -> i32;
}

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection that keeps what it has read ahead.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?)
    }

    /// Connects over IPv4 with a receive buffer of a given size, bytes.
    pub fn connect_with_buffer(to: SocketAddr, buffer: i32) -> io::Result<Self> {
        let SocketAddr::V4(to) = to else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let address = Address {
            family: AF_INET as u16,
            port: to.port().to_be(),
            ip: u32::from_ne_bytes(to.ip().octets()),
            padding: [0; 8],
        };
        // SAFETY: the calls get a new socket and pointers to values of the stated sizes.
        let stream = unsafe {
            let socket = socket(AF_INET, SOCK_STREAM, 0);
            if socket < 0 {
                return Err(io::Error::last_os_error());
            }
            let stream = TcpStream::from_raw_fd(socket);
            let set = setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
            if set != 0 || connect(socket, &address, 16) != 0 {
                return Err(io::Error::last_os_error());
            }
            stream
        };
        Self::new(stream)
    }

    /// Resets the connection.
    pub fn reset(&self) {
        let linger = [1, 0];
        // SAFETY: the call gets a pointer to a value of the stated size.
        unsafe {
            setsockopt(
                self.stream().as_raw_fd(),
                SOL_SOCKET,
                SO_LINGER,
                linger.as_ptr(),
                8,
            )
        };
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a head. `None` if the other end has closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return match head.line.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end();
            if line.is_empty() && !head.line.is_empty() {
                return Ok(Some(head));
            }
            if head.line.is_empty() {
                head.line = line.to_owned();
            } else if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                head.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads a body with a length, in chunks or, for a response, until the connection ends.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                self.reader.read_line(&mut line)?;
                let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let at = body.len();
                body.resize(at + len + 2, 0);
                self.reader.read_exact(&mut body[at..])?;
                body.truncate(at + len);
                if len == 0 {
                    return Ok(body);
                }
            }
        }
        match head.get("content-length") {
            Some(len) => {
                body.resize(len.parse().map_err(io::Error::other)?, 0);
                self.reader.read_exact(&mut body)?;
            }
            None if is_response => drop(self.reader.read_to_end(&mut body)?),
            None => {}
        }
        Ok(body)
    }

    /// Reads a line with its end, empty at the end of the connection.
    pub fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line)
    }

    /// Reads what has arrived, at most `most` bytes.
    pub fn read_some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        let mut buf = vec![0; most];
        let len = self.reader.read(&mut buf)?;
        buf.truncate(len);
        Ok(buf)
    }
}

/// A response with a body of known length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
