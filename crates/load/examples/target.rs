//! What sharing load costs at the target size, in one process and simulated time: 340 proxies in five zones tell what they
//! have out at 600 replicas under 3,600 requests a second, five controllers sum up, and all hear the total.
//!
//! `cargo run --release -p load --example target`

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use load::{Load, LoadNews, LoadSums, Loads, Millis};
use peer::Message;

const CONTROLLERS: usize = 5;
const REQUESTS_A_SECOND: u64 = 3_600;
const STEP_MS: Millis = 10;
const PLAYED_MS: Millis = 20_000;
/// Time from a send to its first token, and to its end.
const PENDING_MS: Millis = 250;
const CALL_MS: Millis = 1_200;
const PROMPT_TOKENS: u32 = 3_000;

/// A generator that is the same on every machine.
struct Draw(u64);

impl Draw {
    fn below(&mut self, below: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % below
    }
}

#[derive(Default)]
struct Proxy {
    own: Loads,
    news: LoadNews,
    heard: LoadSums<()>,
}

#[derive(Default)]
struct Controller {
    agents: LoadSums<usize>,
    peers: LoadSums<usize>,
    peer_news: LoadNews,
    agent_news: LoadNews,
}

/// Bytes of a message on the wire, without the transport's own.
fn bytes(message: &peer::Loads) -> u64 {
    peer::encode(&Message::Loads(message.clone())).map_or(0, |frame| frame.len() as u64)
}

#[derive(Default)]
struct Cost {
    time: Duration,
    messages: u64,
    bytes: u64,
}

impl Cost {
    fn report(&self, what: &str, each_of: usize) {
        let seconds = PLAYED_MS as f64 / 1_000.0 * each_of as f64;
        println!(
            "{what}: {:.2} KB and {:.1} messages a second, {:.3} % of a core",
            self.bytes as f64 / 1_000.0 / seconds,
            self.messages as f64 / seconds,
            100.0 * self.time.as_secs_f64() / seconds
        );
    }
}

/// An end of a call that is due: when, at which proxy and replica, and what it takes away.
struct Due {
    at: Millis,
    proxy: usize,
    replica: u32,
    load: Load,
}

struct Fleet {
    proxies: Vec<Proxy>,
    controllers: Vec<Controller>,
    replicas: usize,
    first_tokens: VecDeque<Due>,
    ends: VecDeque<Due>,
    draw: Draw,
}

impl Fleet {
    fn new(proxies: usize, replicas: usize) -> Fleet {
        Fleet {
            proxies: (0..proxies).map(|_| Proxy::default()).collect(),
            controllers: (0..CONTROLLERS).map(|_| Controller::default()).collect(),
            replicas,
            first_tokens: VecDeque::new(),
            ends: VecDeque::new(),
            draw: Draw(7),
        }
    }

    fn take_off(proxies: &mut [Proxy], due: &mut VecDeque<Due>, now: Millis) {
        while due.front().is_some_and(|first| first.at <= now) {
            let Some(ended) = due.pop_front() else { return };
            let own = &mut proxies[ended.proxy].own;
            let left = own.get(&ended.replica).copied().unwrap_or_default().less(ended.load);
            if left.is_none() {
                own.remove(&ended.replica);
            } else {
                own.insert(ended.replica, left);
            }
        }
    }

    /// Requests of one step go out.
    fn send(&mut self, now: Millis, requests: u64) {
        for _ in 0..requests {
            let (proxy, replica) =
                (self.draw.below(self.proxies.len()), self.draw.below(self.replicas) as u32);
            let tokens = PROMPT_TOKENS / 2 + self.draw.below(PROMPT_TOKENS as usize) as u32;
            let total = self.proxies[proxy].own.entry(replica).or_default();
            *total = total.plus(Load { tokens, calls: 1 });
            let pending = Load { tokens, calls: 0 };
            self.first_tokens.push_back(Due { at: now + PENDING_MS, proxy, replica, load: pending });
            let call = Load { tokens: 0, calls: 1 };
            self.ends.push_back(Due { at: now + CALL_MS, proxy, replica, load: call });
        }
    }

    fn step(&mut self, now: Millis, proxy_cost: &mut Cost, controller_cost: &mut Cost) {
        Fleet::take_off(&mut self.proxies, &mut self.first_tokens, now);
        Fleet::take_off(&mut self.proxies, &mut self.ends, now);
        self.send(now, REQUESTS_A_SECOND * STEP_MS / 1_000);
        self.proxies_tell(now, proxy_cost, controller_cost);
        self.controllers_tell_each_other(now, controller_cost);
        self.controllers_tell_proxies(now, proxy_cost, controller_cost);
    }

    fn proxies_tell(&mut self, now: Millis, proxy_cost: &mut Cost, controller_cost: &mut Cost) {
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            let began = Instant::now();
            let news = proxy.news.message(now, &proxy.own);
            proxy_cost.time += began.elapsed();
            let Some(news) = news else { continue };
            proxy_cost.messages += 1;
            proxy_cost.bytes += bytes(&news);
            let began = Instant::now();
            self.controllers[number % CONTROLLERS].agents.take(now, number, &news);
            controller_cost.time += began.elapsed();
        }
    }

    fn controllers_tell_each_other(&mut self, now: Millis, cost: &mut Cost) {
        for from in 0..CONTROLLERS {
            let began = Instant::now();
            let controller = &mut self.controllers[from];
            let due = now >= controller.peer_news.deadline();
            let news = due.then(|| controller.agents.totals());
            let news = news.and_then(|sums| controller.peer_news.message(now, &sums));
            cost.time += began.elapsed();
            let Some(news) = news else { continue };
            for to in (0..CONTROLLERS).filter(|to| *to != from) {
                cost.messages += 1;
                cost.bytes += bytes(&news);
                let began = Instant::now();
                self.controllers[to].peers.take(now, from, &news);
                cost.time += began.elapsed();
            }
        }
    }

    fn controllers_tell_proxies(&mut self, now: Millis, proxy_cost: &mut Cost, cost: &mut Cost) {
        for (number, controller) in self.controllers.iter_mut().enumerate() {
            let began = Instant::now();
            if now < controller.agent_news.deadline() {
                continue;
            }
            let mut sums = controller.agents.totals();
            controller.peers.add_to(&mut sums);
            let news = controller.agent_news.message(now, &sums);
            cost.time += began.elapsed();
            let Some(news) = news else { continue };
            for proxy in self.proxies.iter_mut().skip(number).step_by(CONTROLLERS) {
                cost.messages += 1;
                cost.bytes += bytes(&news);
                proxy_cost.messages += 1;
                proxy_cost.bytes += bytes(&news);
                let began = Instant::now();
                proxy.heard.take(now, (), &news);
                let totals = proxy.heard.totals();
                proxy_cost.time += began.elapsed();
                assert!(totals.len() <= self.replicas);
            }
        }
    }
}

fn main() {
    for (proxies, replicas) in [(63, 48), (79, 71), (170, 300), (340, 600)] {
        let mut fleet = Fleet::new(proxies, replicas);
        let (mut proxy_cost, mut controller_cost) = (Cost::default(), Cost::default());
        for now in (0..PLAYED_MS).step_by(STEP_MS as usize) {
            fleet.step(now, &mut proxy_cost, &mut controller_cost);
        }
        println!("{proxies} proxies, {replicas} replicas, {REQUESTS_A_SECOND} requests a second");
        proxy_cost.report("  each proxy, both ways", proxies);
        controller_cost.report("  each controller, sent", CONTROLLERS);
    }
}
