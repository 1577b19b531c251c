//! A folder for one test, and ways to run our own binary in it.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use tempfile::TempDir;
use tokio::net::TcpSocket;

/// A work directory; gone when dropped.
pub struct WorkDir {
    folder: TempDir,
}

impl WorkDir {
    pub fn new() -> Self {
        let work = WorkDir { folder: tempfile::tempdir().expect("a temporary folder") };
        work.write("fleet.key", "a-fleet-key");
        work
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a writable folder");
        path
    }

    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.path(name)).expect("a file of the test")
    }

    /// Runs the binary with these arguments and waits for it.
    pub fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().expect("our binary runs")
    }

    /// Runs an operator's command against a daemon's control address.
    pub fn operate(&self, control: SocketAddr, args: &[&str]) -> Output {
        let control = control.to_string();
        let key = self.path("fleet.key");
        let key = key.to_str().expect("a text path");
        let mut all = args.to_vec();
        all.extend(["--control", &control, "--fleet-key-file", key]);
        self.run(&all)
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonknot"));
        command.args(args).current_dir(self.folder.path()).env_remove("TARRAGONKNOT_CONTROL");
        command
    }

    /// Starts a daemon; it is killed when the value is dropped.
    pub fn serve(&self, settings: &Path) -> ServedDaemon {
        let name = settings.file_stem().and_then(|name| name.to_str()).unwrap_or("daemon");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))
            .expect("a log file");
        let mut command = self.command(&["serve", "--settings"]);
        let errors = log.try_clone().expect("a second handle");
        command.arg(settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        ServedDaemon { child: command.spawn().expect("our binary runs") }
    }
}

/// A daemon of its own process.
pub struct ServedDaemon {
    child: Child,
}

impl ServedDaemon {
    /// Sends a signal to the daemon's process.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process to end by itself.
    pub fn wait(mut self) -> bool {
        self.child.wait().expect("a child of ours").success()
    }
}

impl Drop for ServedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One daemon of a fleet of processes.
pub struct FleetDaemon {
    pub name: String,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub process: Option<ServedDaemon>,
}

impl FleetDaemon {
    /// The daemon `entry-NUMBER`, with addresses of its own and not started.
    pub fn new(number: usize) -> Self {
        FleetDaemon {
            name: format!("entry-{number}"),
            callers: free_address(),
            control: free_address(),
            process: None,
        }
    }

    /// Its settings beside these voters, without a data folder.
    pub fn settings(&self, voters: &[FleetDaemon]) -> Value {
        let peers = voters.iter().filter(|peer| peer.name != self.name);
        let peers: Vec<Value> = peers
            .map(|peer| json!({"daemon": peer.name, "control": peer.control.to_string()}))
            .collect();
        json!({
            "daemon": self.name, "data_centre": "hall-a", "callers": self.callers.to_string(),
            "control": self.control.to_string(), "fleet_key_file": "fleet.key", "peers": peers,
            "balancer_wait_ms": 10, "traffic_threads": 2,
        })
    }

    /// Makes `settings` those of a voter.
    pub fn add_data_folder(&self, settings: &mut Value, founds_fleet: bool) {
        settings["data_folder"] = json!(format!("data-{}", self.name));
        settings["found_fleet"] = json!(founds_fleet);
    }

    /// Starts it, or starts it again, in its work directory.
    pub fn start(&mut self, work: &WorkDir) {
        self.process = Some(work.serve(&work.path(&format!("{}.json", self.name))));
    }
}

/// An address of loopback that is this test process's own until it ends.
///
/// The socket stays bound without listening, so nobody else is given the port, while a daemon may still
/// listen on it (both set SO_REUSEADDR).
pub fn free_address() -> SocketAddr {
    static RESERVED: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("a socket option");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    RESERVED.lock().expect("no test panics here").push(socket);
    address
}

/// Standard output as text.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Standard error as text.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
