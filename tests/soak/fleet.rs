//! The fleet's processes: settings files, starts, signals, and restarts after each end, as a platform does them.

use crate::plan::{troubled_controller, Size};
use crate::record::{Disturbance, Millis, Process, Record, Seen};
use crate::relay::{Dialers, Relay, Trouble};
use crate::test_build;
use stand_in::ports::unused_ports;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Services of the fleet, each with replicas of its own.
pub const SERVICES: usize = 2;
/// Times of the settings, ms.
pub const VERSION_MS: Millis = 3_000;
pub const APPLY_MS: Millis = 1_000;
pub const DRAIN_MS: Millis = 1_200;
pub const IN_TOUCH_MS: Millis = 1_200;
pub const LEASE_MS: Millis = 1_500;
pub const LOST_SLACK_MS: Millis = 200;
pub const BEAT_EVERY_MS: Millis = 300;
pub const THAW_MS: Millis = 300;
/// From SIGTERM to SIGKILL.
pub const GRACE_MS: Millis = 4_000;
/// A process that dies of a signal so soon after its start had not begun to run.
const BEFORE_MAIN_MS: Millis = 150;
/// Pause between the end of a process and its next start.
const RESTART_MS: u64 = 200;
/// How often ends are looked for.
const LOOK_EVERY: Duration = Duration::from_millis(10);

const CONTROL_PORT: u16 = 18_169;
const INNER_PORT: u16 = 17_640;
const FRONT_PORT: u16 = 18_167;
const READY_PORT: u16 = 18_162;
pub const REPLICA_PORT: u16 = 18_080;

/// The second byte of the addresses of one run; runs at the same time have others.
fn next_subnet() -> u8 {
    static RUNS: AtomicU16 = AtomicU16::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let first = std::process::id() as u16 % 60;
    10 + ((first * 4 + run) % 240) as u8
}

struct Running {
    child: Option<Child>,
    started: Millis,
    /// The last signal that ends it, with when.
    told_to_end: Option<Millis>,
    killed: bool,
    is_frozen: bool,
    /// It was frozen when it was told to end, or after.
    froze_in_its_end: bool,
    starts: u32,
}

/// The processes of a run.
#[derive(Clone)]
pub struct Fleet {
    shared: Rc<Shared>,
}

struct Shared {
    program: PathBuf,
    folder: PathBuf,
    size: Size,
    subnet: u8,
    agent_ports: Vec<u16>,
    record: Record,
    running: RefCell<BTreeMap<Process, Running>>,
    /// Processes are started again when they end.
    restarts: Cell<bool>,
    faults: Option<Faults>,
}

/// What makes the links and the disk of one controller fail.
struct Faults {
    seed: u64,
    controller: usize,
    relays: Vec<Rc<Relay>>,
}

impl Fleet {
    /// All processes, started. `folder` takes settings, disks and logs.
    pub fn start(program: &Path, folder: &Path, size: Size, record: Record, seed: u64) -> Fleet {
        let agent_ports = (0..size.edges).map(|_| unused_ports(&[Ipv4Addr::LOCALHOST], 1)).collect();
        let shared = Shared {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            size,
            subnet: next_subnet(),
            agent_ports,
            record,
            running: RefCell::default(),
            restarts: Cell::new(true),
            faults: None,
        };
        let mut fleet = Fleet { shared: Rc::new(shared) };
        let relays = (0..size.controllers).map(|number| fleet.inner(number));
        let faults = troubled_controller(seed, size).map(|controller| Faults {
            seed,
            controller,
            relays: relays.map(Relay::start).collect(),
        });
        Rc::get_mut(&mut fleet.shared).expect("nobody else has it yet").faults = faults;
        for process in fleet.processes() {
            fleet.launch(process, true);
        }
        fleet
    }

    pub fn size(&self) -> Size {
        self.shared.size
    }

    fn processes(&self) -> Vec<Process> {
        let size = self.shared.size;
        let controllers = (0..size.controllers).map(Process::Controller);
        let edges = (0..size.edges).flat_map(|edge| [Process::Agent(edge), Process::Proxy(edge)]);
        controllers.chain(edges).collect()
    }

    pub fn controller(&self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1, controller), CONTROL_PORT)
    }

    pub fn front(&self, edge: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(2, edge), FRONT_PORT)
    }

    pub fn ready(&self, edge: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(2, edge), READY_PORT)
    }

    pub fn replica(&self, place: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(3, place), REPLICA_PORT)
    }

    /// Where a controller's peers and agents reach it.
    fn inner(&self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1, controller), INNER_PORT)
    }

    /// Puts links of the controller that is in trouble into that trouble, for so long.
    pub async fn disturb(self, trouble: Trouble, dialers: Dialers, time: Millis) {
        let Some(faults) = &self.shared.faults else { return };
        let process = Process::Controller(faults.controller);
        self.shared.record.note(Seen::Process { process, what: Disturbance::LinksTroubled });
        faults.relays[faults.controller].clone().disturb(trouble, dialers, time).await;
        self.shared.record.note(Seen::Process { process, what: Disturbance::LinksWhole });
    }

    fn ip(&self, class: u8, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.shared.subnet, class, number as u8 + 1)
    }

    fn launch(&self, process: Process, first_start: bool) {
        let shared = &self.shared;
        let name = name(process);
        let folder = shared.folder.join(&name);
        fs::create_dir_all(folder.join("data")).expect("a folder for the process");
        let settings = folder.join("settings.yaml");
        fs::write(&settings, self.settings(process, &folder, first_start)).expect("room for settings");
        let log = File::options().create(true).append(true).open(folder.join("log")).expect("room for a log");
        let mut command = self.command(process);
        command.env("STEPPICK_CONFIG", &settings).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().expect("the program starts");
        let mut running = shared.running.borrow_mut();
        let starts = running.get(&process).map_or(1, |before| before.starts + 1);
        let started = shared.record.now();
        let entry = Running {
            child: Some(child),
            started,
            told_to_end: None,
            killed: false,
            is_frozen: false,
            froze_in_its_end: false,
            starts,
        };
        running.insert(process, entry);
        shared.record.note(Seen::Process { process, what: Disturbance::Started });
    }

    /// The program, or its test build where links and disks fail.
    fn command(&self, process: Process) -> Command {
        let role = match (process, &self.shared.faults) {
            (Process::Controller(number), Some(faults)) => {
                return test_build::command(number, faults.seed, faults.controller)
            }
            (Process::Controller(_), None) => "controller",
            (Process::Agent(_), _) => "agent",
            (Process::Proxy(_), _) => "proxy",
        };
        let mut command = Command::new(&self.shared.program);
        command.arg(role);
        command
    }

    fn settings(&self, process: Process, folder: &Path, first_start: bool) -> String {
        let (ip, listen, ports, disk, zone) = match process {
            Process::Controller(number) => {
                let ip = self.ip(1, number);
                let listen = format!("control: \"{ip}:{CONTROL_PORT}\"");
                let disk = format!("\"{}\"", folder.join("data").display());
                (ip, listen, INNER_PORT + 1, disk, number % 3)
            }
            Process::Agent(number) | Process::Proxy(number) => {
                let ip = self.ip(2, number);
                let listen = format!("{{front: \"{ip}:{FRONT_PORT}\", ready: \"{ip}:{READY_PORT}\"}}");
                (ip, listen, self.shared.agent_ports[number], "null".to_string(), number % 3)
            }
        };
        let listen = if listen.starts_with('{') { listen } else { format!("{{{listen}}}") };
        let seeds: Vec<String> = (0..3).map(|seed| format!("\"{}\"", self.controller(seed))).collect();
        format!(
            "node: \"{name}\"\nrole: \"r\"\nip: \"{ip}\"\nzone: \"z{zone}\"\nregion: \"r\"\n\
             zones: {{z0: \"r\", z1: \"r\", z2: \"r\"}}\nlisten-on: {listen}\ninner-ports: [{INNER_PORT}, {ports}]\n\
             seeds: [{seeds}]\nfirst-start: {first_start}\ncounted: true\n\
             caps: {{cpu-share: 1.0, memory-mb: 256, open-files: 1000, link-mbps: 1000.0, disk-mb: 128}}\n\
             data-dir: {disk}\nbeat-every-ms: {BEAT_EVERY_MS}\nsurvive: {{machines: 1, zones: 0, regions: 0}}\n\
             bounds: {{in-touch-ms: {IN_TOUCH_MS}, drain-ms: {DRAIN_MS}, grace-s: {grace}, apply-ms: {APPLY_MS}, \
             retry-ratio: 0.5, retry-window-s: 10, extra-tries: 500, lease-ms: {LEASE_MS}, thaw-ms: {THAW_MS}, \
             version-ms: {VERSION_MS}, fenced: true}}\n",
            name = name(process),
            seeds = seeds.join(", "),
            grace = GRACE_MS as f64 / 1_000.0,
        )
    }

    /// Sends a process a signal; none if it is not there.
    fn signal(&self, process: Process, signal: nix::sys::signal::Signal) -> bool {
        let running = self.shared.running.borrow();
        let Some(child) = running.get(&process).and_then(|one| one.child.as_ref()) else { return false };
        let id = nix::unistd::Pid::from_raw(child.id() as i32);
        nix::sys::signal::kill(id, signal).is_ok()
    }

    pub fn terminate(&self, process: Process) {
        if self.signal(process, nix::sys::signal::Signal::SIGTERM) {
            let now = self.shared.record.now();
            if let Some(one) = self.shared.running.borrow_mut().get_mut(&process) {
                one.told_to_end.get_or_insert(now);
                one.froze_in_its_end |= one.is_frozen;
            }
            self.shared.record.note(Seen::Process { process, what: Disturbance::Terminated });
        }
    }

    pub fn kill(&self, process: Process) {
        if self.signal(process, nix::sys::signal::Signal::SIGKILL) {
            if let Some(one) = self.shared.running.borrow_mut().get_mut(&process) {
                one.killed = true;
            }
            self.shared.record.note(Seen::Process { process, what: Disturbance::Killed });
        }
    }

    /// Kills all processes at once, as when all machines lose power; what was written to disks stays.
    pub fn kill_all(&self) {
        self.processes().into_iter().for_each(|process| self.kill(process));
    }

    pub fn reload(&self, process: Process) {
        if self.signal(process, nix::sys::signal::Signal::SIGHUP) {
            self.shared.record.note(Seen::Process { process, what: Disturbance::Reloaded });
        }
    }

    /// Stops processes in their tracks for so long.
    pub async fn freeze(self, processes: Vec<Process>, time: Millis) {
        let frozen: Vec<Process> =
            processes.into_iter().filter(|process| self.stop_in_its_tracks(*process)).collect();
        sleep(Duration::from_millis(time)).await;
        frozen.into_iter().for_each(|process| self.thaw(process));
    }

    /// Whether it was running.
    fn stop_in_its_tracks(&self, process: Process) -> bool {
        let is_frozen = self.shared.running.borrow().get(&process).is_some_and(|one| one.is_frozen);
        if is_frozen || !self.signal(process, nix::sys::signal::Signal::SIGSTOP) {
            return false;
        }
        if let Some(one) = self.shared.running.borrow_mut().get_mut(&process) {
            one.is_frozen = true;
            one.froze_in_its_end |= one.told_to_end.is_some();
        }
        self.shared.record.note(Seen::Process { process, what: Disturbance::Frozen });
        true
    }

    /// Lets a frozen process go on, unless it was killed meanwhile.
    fn thaw(&self, process: Process) {
        let was_frozen = match self.shared.running.borrow_mut().get_mut(&process) {
            Some(one) => std::mem::take(&mut one.is_frozen),
            None => false,
        };
        if was_frozen && self.signal(process, nix::sys::signal::Signal::SIGCONT) {
            self.shared.record.note(Seen::Process { process, what: Disturbance::Thawed });
        }
    }

    pub fn wipe(&self, controller: usize) {
        let process = Process::Controller(controller);
        self.kill(process);
        let data = self.shared.folder.join(name(process)).join("data");
        if let Some(child) =
            self.shared.running.borrow_mut().get_mut(&process).and_then(|one| one.child.as_mut())
        {
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&data);
    }

    /// Watches the processes: notes their ends, kills what outlives its grace, starts again what has ended.
    pub async fn supervise(self) {
        let mut starts: Vec<(Millis, Process)> = Vec::new();
        while self.shared.restarts.get() {
            sleep(LOOK_EVERY).await;
            self.enforce_grace();
            let now = self.shared.record.now();
            for process in self.processes() {
                if let Some(expected) = self.ended(process, now) {
                    self.shared.record.note(Seen::Process { process, what: Disturbance::Ended { expected } });
                    starts.push((now + RESTART_MS, process));
                }
            }
            let (due, later) =
                starts.into_iter().partition(|(at, process)| *at <= now && !self.is_stopping(*process));
            starts = later;
            let due: Vec<(Millis, Process)> = due;
            due.into_iter().for_each(|(_, process)| self.launch(process, false));
        }
    }

    /// Whether the other process of an edge machine that was told to end is still there: a machine stops as a whole.
    fn is_stopping(&self, process: Process) -> bool {
        let other = match process {
            Process::Controller(_) => return false,
            Process::Agent(edge) => Process::Proxy(edge),
            Process::Proxy(edge) => Process::Agent(edge),
        };
        let running = self.shared.running.borrow();
        running.get(&other).is_some_and(|one| one.child.is_some() && one.told_to_end.is_some())
    }

    /// Whether a process has ended since the last look, and if so, whether its signals explain how.
    fn ended(&self, process: Process, now: Millis) -> Option<bool> {
        let mut running = self.shared.running.borrow_mut();
        let one = running.get_mut(&process)?;
        let status = one.child.as_mut()?.try_wait().ok()??;
        one.child = None;
        let expected = one.explains(status, now);
        if !expected {
            eprintln!("{} ended by itself: {status}", name(process));
        }
        Some(expected)
    }

    /// Kills what outlives its grace. That is a fault, unless the process was kept from ending by a freeze, or has ended
    /// as far as it can and the kernel still takes it apart.
    fn enforce_grace(&self) {
        let now = self.shared.record.now();
        for process in self.processes() {
            let overdue = self.shared.running.borrow().get(&process).and_then(|one| {
                let is_over = !one.killed && one.told_to_end.is_some_and(|at| now >= at + GRACE_MS);
                let child = one.child.as_ref().filter(|_| is_over)?;
                Some(one.froze_in_its_end || is_exiting(child.id()))
            });
            let Some(is_excused) = overdue else { continue };
            if !is_excused {
                let what = format!("{} outlived its grace", name(process));
                self.shared.record.note(Seen::Unrecovered { what });
            }
            self.kill(process);
        }
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.shared.restarts.set(false);
        for one in self.shared.running.borrow_mut().values_mut() {
            if let Some(child) = &mut one.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Whether a process runs no more code of its own: it has called for its end, and the kernel frees what it held. With many
/// processes of one program file that can take seconds on a machine that is short of memory.
fn is_exiting(id: u32) -> bool {
    /// The flag of a task that is being taken apart (`PF_EXITING`).
    const EXITING: u64 = 0x4;
    /// The place of the flags among the fields that follow the name.
    const FLAGS: usize = 6;
    let Ok(stat) = fs::read_to_string(format!("/proc/{id}/stat")) else { return true };
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let flags = fields.split_whitespace().nth(FLAGS).and_then(|flags| flags.parse::<u64>().ok());
    flags.is_some_and(|flags| flags & EXITING != 0)
}

impl Running {
    fn explains(&self, status: ExitStatus, now: Millis) -> bool {
        let before_main = now < self.started + BEFORE_MAIN_MS;
        match (status.code(), status.signal()) {
            (Some(0), _) => self.told_to_end.is_some(),
            (None, Some(9)) => self.killed,
            (None, Some(1 | 15)) => before_main,
            _ => false,
        }
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        for one in self.running.get_mut().values_mut() {
            if let Some(child) = &mut one.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// The name of a process, and of its machine's folder.
pub fn name(process: Process) -> String {
    match process {
        Process::Controller(number) => format!("core-{number}"),
        Process::Agent(number) => format!("edge-{number}-agent"),
        Process::Proxy(number) => format!("edge-{number}-proxy"),
    }
}
