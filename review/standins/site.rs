//! A small deployment: fronts as separate processes, beside stand-ins of the platform and engines.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

/// Fronts of a deployment.
pub const FRONTS: u8 = 3;

/// The record of a run: what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create() -> io::Result<Arc<Self>> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| String::from("record.txt"));
        Ok(Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        }))
    }

    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        // A record that cannot be written does not change the result.
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}

/// One front.
pub struct Front {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    pub child: Child,
}

/// A deployment; all its processes end with it.
pub struct Site {
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub fronts: Vec<Front>,
    folder: PathBuf,
    /// Further lines of the settings, which replace those of the same name.
    extra: String,
}

impl Site {
    /// Starts the platform's stand-in; the fronts start with [`Site::launch`].
    pub fn start(extra: &str) -> io::Result<Self> {
        let (store, store_address) = Store::start()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            store_address,
            fronts: Vec::new(),
            folder,
            extra: extra.to_owned(),
        })
    }

    /// Starts the fronts and waits until they are ready.
    pub fn launch(&mut self) -> io::Result<()> {
        let block = std::process::id();
        let ip = |index: u8| {
            let [second, third] = [1 + (block >> 7) % 250, 1 + block % 128];
            Ipv4Addr::new(127, second as u8, third as u8, index)
        };
        let ports = free_ports(ip(1))?;
        for index in 1..=FRONTS {
            let settings = self.folder.join(format!("front-{index}.conf"));
            let name = format!("front-{index}");
            fs::write(&settings, self.settings(&name, ip(index), ip(1), &ports))?;
            let child = spawn(&settings, &self.folder.join(format!("{name}.log")))?;
            self.fronts.push(Front {
                name,
                front: SocketAddr::from((ip(index), ports[0])),
                ready: SocketAddr::from((ip(index), ports[1])),
                settings,
                child,
            });
        }
        let end = Instant::now() + Duration::from_secs(20);
        while !self.fronts.iter().all(|f| is_ready(f.ready)) {
            if Instant::now() > end {
                return Err(io::Error::other("the fronts are not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts a front again after its process has ended.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let front = &mut self.fronts[index];
        front.child.wait()?;
        let log = self.folder.join(format!("{}-again.log", front.name));
        front.child = spawn(&front.settings, &log)?;
        Ok(())
    }

    /// Replaces lines of the settings files of all fronts.
    pub fn change_settings(&self, lines: &str) -> io::Result<()> {
        for front in &self.fronts {
            let text = fs::read_to_string(&front.settings)?;
            fs::write(&front.settings, with_lines(&text, lines))?;
        }
        Ok(())
    }

    /// Returns settings with the values of the users' pages for a small deployment.
    fn settings(&self, name: &str, ip: Ipv4Addr, seed: Ipv4Addr, ports: &[u16]) -> String {
        let store = self.store_address;
        let (front, ready, control) = (ports[0], ports[1], ports[2]);
        let (first, last) = (ports[3], ports[4]);
        let text = format!(
            "node={name}\nrole=front\nmachineClass=front\nserves=front,control\nip={ip}\nzone=a\n\
             region=r\nzones.a=r\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nportRange={first},{last}\nseeds={seed}:{control}\n\
             bootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n\
             entry=vip\nheartbeatMs=1200\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
             bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
             bounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n\
             bounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.strictRevoke=false\n\
             bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
             bounds.budgetSlack=58\nbounds.quotaWindowS=8\nbounds.quotaOverage=0.1\n\
             bounds.quotaSlack=140000\nbounds.requireFencing=true\nbounds.leaseMs=3000\n\
             bounds.thawMs=300\nbounds.usageWindowS=5\nbounds.usageTolerance=0.05\n\
             bounds.usageLateS=10\nbounds.exposureShare=0.1\nbounds.exposureSlack=50\n\
             bounds.rollbackMs=5000\nbounds.recoveryS=12\nbounds.passMs=120\n\
             bounds.reuseWindowS=10\nplatform.address={store}\nplatform.form=objects\n\
             platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
             platform.valueBytes=1048576\nplatform.ttlMinMs=1000\ncloud.address={store}\n\
             cloud.ratePerS=50.0\ncloud.duties=usage_report,autoscale\ncloud.dutyPerS=50.0\n"
        );
        with_lines(&text, &self.extra)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for front in &mut self.fronts {
            // A front that has ended is killed already.
            let _ = front.child.kill();
            let _ = front.child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns settings with further lines, which replace those of the same name.
fn with_lines(text: &str, further: &str) -> String {
    let lines = text.lines().chain(further.lines());
    let pairs = lines.filter_map(|line| line.split_once('='));
    let values: BTreeMap<_, _> = pairs.collect();
    values.iter().map(|(k, v)| format!("{k}={v}\n")).collect()
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let program = std::env::var("FRONT").unwrap_or_default();
    let log = File::create(log)?;
    let mut command = Command::new(program);
    command.env("GUAVAUSHER_SETTINGS", settings);
    command.stdin(Stdio::null()).stdout(log.try_clone()?);
    command.stderr(log).spawn()
}

/// Returns free ports of an address, the last two of which follow each other.
fn free_ports(ip: Ipv4Addr) -> io::Result<Vec<u16>> {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind((ip, 0))?);
    }
    let mut ports = Vec::new();
    for listener in &listeners {
        ports.push(listener.local_addr()?.port());
    }
    ports.push(ports[3].saturating_add(1));
    Ok(ports)
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) -> io::Result<()> {
    let command = format!("kill -s {name} {pid}");
    Command::new("sh").args(["-c", &command]).status()?;
    Ok(())
}

/// Returns `true` if a front says that it is ready.
pub fn is_ready(ready: SocketAddr) -> bool {
    let answer = http::call(ready, "GET", "/guavausher/ready", "");
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Returns Unix milliseconds.
pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

/// Returns the entry of an engine.
pub fn entry(service: &str, version: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{}}}",
        unix_ms()
    )
}
