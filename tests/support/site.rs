//! A site for the platform's front: stand-in nodes and discovery, the configuration and what a client sends.

use super::{apart, stand_in, Notes};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a stand-in node does with a part.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mood {
    Serves,
    /// Serves after so long.
    Takes(Duration),
    Nonsense,
    Silent,
    /// Silent on the connections that it has by now, of which there are so many.
    SilentUpTo(usize),
}

pub struct Node {
    pub address: SocketAddr,
    pub asked: Notes,
    pub mood: Arc<Mutex<Mood>>,
    pub connections: Arc<AtomicUsize>,
}

pub fn frame(stream: &mut TcpStream) -> Option<(u8, String)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut body).ok()?;
    Some((body[0], String::from_utf8(body[1..].to_vec()).expect("UTF-8")))
}

pub fn serve(mut stream: TcpStream, number: usize, asked: &Notes, mood: &Mutex<Mood>) {
    while let Some((letter, text)) = frame(&mut stream) {
        let now = *mood.lock().expect("no panic");
        asked.lock().expect("no panic").push(format!("{}{text}", letter as char));
        let id = text.split(' ').next().expect("an id");
        let shard = text.split(' ').nth(1).unwrap_or_default();
        if let Mood::Takes(time) = now {
            std::thread::sleep(time);
        }
        let reply = match (letter, now) {
            (_, Mood::SilentUpTo(count)) if number < count => continue,
            (b'Q', Mood::Serves | Mood::Takes(_) | Mood::SilentUpTo(_)) => {
                format!("A{id} ok 10{shard} -\nvalue \"{shard}\"")
            }
            (b'Q', Mood::Nonsense) => "what?".to_string(),
            (b'L', _) => "Linflight=0,queue=0".to_string(),
            _ => continue,
        };
        // In two pieces: a frame may come split anywhere.
        let bytes = [&(reply.len() as u32).to_le_bytes()[..], reply.as_bytes()].concat();
        let (first, second) = bytes.split_at(3);
        if stream.write_all(first).and_then(|()| stream.write_all(second)).is_err() {
            return;
        }
    }
}

pub fn node() -> Node {
    let (asked, mood) = (Notes::default(), Arc::new(Mutex::new(Mood::Serves)));
    let (notes, state, count) = (asked.clone(), mood.clone(), Arc::new(AtomicUsize::new(0)));
    let connections = count.clone();
    let address = stand_in(move |stream| serve(stream, count.fetch_add(1, Ordering::SeqCst), &notes, &state));
    Node { address, asked, mood, connections }
}

impl Node {
    pub fn count(&self) -> usize {
        self.asked.lock().expect("no panic").iter().filter(|text| text.starts_with('Q')).count()
    }

    pub fn mood(&self, mood: Mood) {
        *self.mood.lock().expect("no panic") = mood;
    }
}

/// A discovery that writes to its newest watch what it is handed.
pub fn discovery() -> (SocketAddr, Sender<String>, Receiver<String>) {
    let (tell, told) = channel::<String>();
    let (note, asked) = channel();
    let (open, opened) = channel::<TcpStream>();
    let address = stand_in(move |mut stream| {
        let mut head = [0; 2048];
        let length = stream.read(&mut head).unwrap_or(0);
        let _ = note.send(String::from_utf8_lossy(&head[..length]).into_owned());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let _ = open.send(stream);
    });
    apart(move || {
        let Ok(mut newest) = opened.recv() else { return };
        loop {
            let text = told.recv_timeout(Duration::from_millis(500));
            newest = opened.try_iter().last().unwrap_or(newest);
            match text.as_deref() {
                Ok("end") => {
                    let _ = newest.shutdown(Shutdown::Both);
                    let Ok(next) = opened.recv() else { return };
                    newest = next;
                }
                // A line in two chunks: chunks say nothing of lines.
                Ok(text) => {
                    let (a, b) = text.split_at(text.len() / 2);
                    let _ = write!(newest, "{:x}\r\n{a}\r\n{:x}\r\n{b}\n\r\n", a.len(), b.len() + 1);
                }
                Err(RecvTimeoutError::Timeout) => {
                    let _ = newest.write_all(b"1\r\n\n\r\n");
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    });
    (address, tell, asked)
}

pub fn entry(nodes: &[Node; 2], n: usize, state: &str) -> String {
    entry_at(nodes[n].address, n, state)
}

pub fn config(listen: &str, discovery: SocketAddr, servers: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256}},\
         \"known\":{{\"version\":41,\"full\":true,\"servers\":[{servers}]}},\"settings\":{}}}",
        include_str!("../settings.json")
    )
}

pub fn headers(class: &str, id: u64) -> String {
    format!("X-Request-Id: {id:016x}\r\nX-Class: {class}\r\nX-Deadline: 5000m\r\nIdempotency-Key: k{id}\r\n")
}

pub fn body(shards: &[usize]) -> String {
    let weight = 1.0 / shards.len() as f64;
    let each: Vec<String> =
        shards.iter().map(|s| format!("{{\"shard\":{s},\"weight\":{weight},\"cost\":9000}}")).collect();
    format!("{{\"shards\":[{}],\"q\":\"some text\"}}", each.join(","))
}

/// An entry of the list.
pub fn entry_at(address: SocketAddr, n: usize, state: &str) -> String {
    format!(
        "{{\"id\":\"s-{n}\",\"addr\":\"{address}\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":{n},\"state\":\"{state}\",\
         \"weight\":1.0,\"started_ms\":0}}"
    )
}
