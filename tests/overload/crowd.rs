//! Clients that send without limits and stay connected.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The time after which a write that the daemon does not take counts as sent: its
/// receive buffer is full, and the daemon does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time in which the daemon reads what the kernel has received.
pub const READ_TIME: Duration = Duration::from_millis(1500);
/// The bytes of one write.
const WRITE_BYTES: usize = 64 << 10;

/// How a body is transmitted.
#[derive(Debug, Clone, Copy)]
pub enum Framing {
    /// With its length, without pauses.
    Whole,
    /// With its length, with a pause after each piece of this many bytes.
    Pieces(usize),
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// What a client sends before it waits.
#[derive(Debug, Clone)]
pub enum Script {
    /// A request whose body lacks its last byte.
    Body {
        head: String,
        bytes: usize,
        framing: Framing,
    },
    /// Plain bytes.
    Bytes(Vec<u8>),
    /// A WebSocket frame that lacks its last byte.
    Frame(usize),
}

/// A client that sends its script and then neither sends, reads nor closes.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    script: Script,
}

impl Client {
    pub fn new(address: SocketAddr, script: Script) -> Self {
        Self { address, script }
    }

    async fn run(self) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.address).await.ok()?;
        // The daemon may refuse or close at any time, so failed writes are expected.
        let _ = match self.script {
            Script::Bytes(bytes) => write(&mut stream, &bytes).await,
            Script::Frame(bytes) => write_frame(&mut stream, bytes).await,
            Script::Body {
                head,
                bytes,
                framing,
            } => write_body(&mut stream, &head, bytes, framing).await,
        };
        Some(stream)
    }
}

/// The open connections of a number of clients.
#[derive(Debug)]
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Lets all clients send at once. Returns when none can send any more.
    pub async fn send(client: Client, count: usize) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            clients.spawn(client.clone().run());
        }
        let streams = clients.join_all().await.into_iter().flatten().collect();
        sleep(READ_TIME).await;
        Self { _streams: streams }
    }
}

/// Writes bytes; returns `None` when the daemon has closed or takes no more.
async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(bytes))
        .await
        .ok()?
        .ok()
}

async fn write_body(
    stream: &mut TcpStream,
    head: &str,
    bytes: usize,
    framing: Framing,
) -> Option<()> {
    match framing {
        Framing::Whole => {
            let head = format!("{head}content-length: {bytes}\r\n\r\n");
            write(stream, head.as_bytes()).await?;
            write_pieces(stream, bytes - 1, WRITE_BYTES, Duration::ZERO).await
        }
        Framing::Pieces(piece) => {
            let head = format!("{head}content-length: {bytes}\r\n\r\n");
            write(stream, head.as_bytes()).await?;
            write_pieces(stream, bytes - 1, piece, Duration::from_millis(5)).await
        }
        Framing::Chunks(chunk) => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            write(stream, head.as_bytes()).await?;
            let one = [
                format!("{chunk:x}\r\n").as_bytes(),
                &vec![b' '; chunk],
                b"\r\n",
            ]
            .concat();
            let batch = one.repeat(WRITE_BYTES.div_ceil(chunk));
            let count = (bytes - 1) / chunk;
            let batches = count / WRITE_BYTES.div_ceil(chunk);
            for _ in 0..batches {
                write(stream, &batch).await?;
            }
            let last = format!("{chunk:x}\r\n{}", " ".repeat(chunk - 1));
            write(stream, last.as_bytes()).await
        }
    }
}

async fn write_pieces(
    stream: &mut TcpStream,
    bytes: usize,
    piece: usize,
    pause: Duration,
) -> Option<()> {
    let block = vec![b' '; piece];
    let mut left = bytes;
    while left > 0 {
        let length = left.min(piece);
        write(stream, &block[..length]).await?;
        left -= length;
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    Some(())
}

async fn write_frame(stream: &mut TcpStream, bytes: usize) -> Option<()> {
    let upgrade = "GET /peers HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n\
        upgrade: websocket\r\nsec-websocket-version: 13\r\n\
        sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
    write(stream, upgrade.as_bytes()).await?;
    let mut answer = [0; 1024];
    let read = timeout(WRITE_TIMEOUT, stream.read(&mut answer)).await;
    read.ok()?.ok()?;
    // A final binary frame with a mask of zeros and a length of eight bytes.
    let mut head = vec![0x82, 0xff];
    head.extend_from_slice(&(bytes as u64).to_be_bytes());
    head.extend_from_slice(&[0; 4]);
    write(stream, &head).await?;
    write_pieces(stream, bytes - 1, WRITE_BYTES, Duration::ZERO).await
}
