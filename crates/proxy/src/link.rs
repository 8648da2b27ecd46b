//! The link to the agent of this machine: for ever made anew; without it the proxy serves on its last view.

use crate::event::ProxyEvent;
use crate::shared::Shared;
use crate::view::ViewAnswer;
use peer::{encode, Address, FrameReader, Hello, Message, Role, PROTOCOL};
use process::Event;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

/// Pause before the link is made anew; doubles while the agent can't be reached.
const PAUSE: Duration = Duration::from_millis(10);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);
/// Room for one read, bytes.
const READ_ROOM: usize = 64 * 1024;

/// Keeps the link.
pub(crate) async fn keep(shared: Rc<Shared>, agent: SocketAddrV4, incarnation: u64) {
    let mut pause = PAUSE;
    loop {
        if let Ok(mut stream) = TcpStream::connect(agent).await {
            ProxyEvent::AgentLinked.info(format_args!("agent at {agent}"));
            let why = follow(&shared, &mut stream, incarnation).await;
            let why = why.err().map_or("closed".into(), |why| why.to_string());
            ProxyEvent::AgentLost.warn(format_args!("agent at {agent}: {why}"));
            pause = PAUSE;
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Takes the agent's messages until the link breaks.
async fn follow(shared: &Rc<Shared>, stream: &mut TcpStream, incarnation: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(&frame(&hello(shared, incarnation))?).await?;
    shared.view.borrow_mut().linked();
    let mut reader = FrameReader::default();
    let mut room = Vec::with_capacity(READ_ROOM);
    loop {
        room.clear();
        let due = shared.instant(shared.view.borrow().news_due());
        tokio::select! {
            read = stream.read_buf(&mut room) => {
                if read? == 0 {
                    return Ok(());
                }
            }
            () = sleep_until(due) => {
                let news = shared.view.borrow_mut().news(shared.now());
                for message in &news {
                    stream.write_all(&frame(message)?).await?;
                }
                continue;
            }
        }
        reader.push(&room);
        while let Some(message) = reader.next_message().map_err(io::Error::other)? {
            if let Some(answer) = take(shared, message) {
                stream.write_all(&frame(&answer)?).await?;
            }
        }
    }
}

fn frame(message: &Message) -> io::Result<Vec<u8>> {
    encode(message).map_err(io::Error::other)
}

fn hello(shared: &Rc<Shared>, incarnation: u64) -> Message {
    let settings = shared.settings.borrow();
    Message::Hello(Hello {
        protocol: PROTOCOL,
        role: Role::Proxy,
        machine: settings.node.as_str().into(),
        zone: settings.zone.as_str().into(),
        incarnation,
        address: Address::NONE,
        configuration: shared.view.borrow().version(),
    })
}

/// Takes a message; tells what to answer.
fn take(shared: &Rc<Shared>, message: Message) -> Option<Message> {
    let answer = shared.view.borrow_mut().take(message, shared.now());
    shared.view_changed.notify_waiters();
    let version = shared.view.borrow().version();
    match answer {
        ViewAnswer::Taken => None,
        ViewAnswer::WantConfiguration => Some(Message::WantConfiguration),
        ViewAnswer::Configured => {
            ProxyEvent::Configured.info(format_args!("version {version}"));
            None
        }
        ViewAnswer::Named => {
            shared.weights_named.notify_waiters();
            let (view, now) = (shared.view.borrow(), shared.now() as i64);
            let bound = view.dispatcher.bounds().version;
            let named = view.dispatcher.named_weights().describe(now);
            ProxyEvent::WeightsNamed.info(format_args!("{named}; older ones are out by {bound} ms"));
            None
        }
        ViewAnswer::Released => {
            let view = shared.view.borrow();
            ProxyEvent::Released.info(format_args!("{}", view.dispatcher.describe_releases()));
            None
        }
        ViewAnswer::UnusableReleases(why) => {
            ProxyEvent::ReleasesUnusable.warn(format_args!("{why}"));
            None
        }
        ViewAnswer::Unusable(why) => {
            ProxyEvent::ConfigurationUnusable.warn(format_args!("version {version} stays: {why}"));
            None
        }
    }
}
