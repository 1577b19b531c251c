//! A core machine is replaced as planned; then another one loses its disk.
#[path = "../kit/mod.rs"]
mod kit;

use kit::{Daemon, Operator, Record, Site, document, has_trouble, sleep, version_of, wipe};

/// Bounds of the deployment's sheet.
const CATCH_UP_S: f64 = 4.0;
const CONTACT_S: f64 = 3.0;
const RECOVER_S: f64 = 12.0;

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&format!("{folder}/record.txt"));
    let site = Site::new("2");
    let code = run(&record, &site);
    record.line(format!("exit {code}"));
    drop(site);
    std::process::exit(code);
}

fn run(record: &Record, site: &Site) -> i32 {
    let seeds = [1, 2, 3];
    let mut voters: Vec<Daemon> = seeds
        .iter()
        .map(|machine| {
            wipe(&site.data_folder(*machine));
            Daemon::start(site, *machine, &site.voter(*machine, &seeds, true))
        })
        .collect();
    record.line("machines 1, 2 and 3 serve control; bootstrap is true");
    let mut operator = Operator::new(site, record, &seeds);
    if !operator.replace(&document(10), 15.0) {
        record.line("the first configuration was not accepted: the case can't run");
        return 2;
    }
    sleep(3.0);
    if !operator.replace(&document(12), 4.0) {
        return 2;
    }
    if has_trouble() {
        // Planned replacement: the successor first, at a new address, with an empty disk.
        wipe(&site.data_folder(4));
        voters.push(Daemon::start(site, 4, &site.voter(4, &seeds, false)));
        record.line("machine 4 starts with an empty disk, bootstrap false; it is to replace machine 3");
        operator.voters = vec![1, 2, 3, 4];
        sleep(CATCH_UP_S + 1.0);
        voters[2].signal("TERM");
        record.line("machine 3: SIGTERM, for good");
        if !voters[2].wait_end(8.0) {
            voters[2].kill();
        }
        record.line("machine 3 has ended");
        operator.voters = vec![1, 2, 4];
        sleep(0.8);
    }
    if !operator.replace(&document(15), 4.0) {
        record.line("the change before the loss was not acknowledged: the case can't run");
        return 2;
    }
    if has_trouble() {
        // Machine 4 started over `catch_up_s` ago: machine 3 no longer counts as lost.
        let lost = 0;
        voters[lost].kill();
        wipe(&site.data_folder(1));
        record.line("machine 1 loses power and its disk, right after the acknowledgement");
        sleep(1.0);
        let seeds = [1, 2, 4];
        voters[lost].restart(&site.voter(1, &seeds, false));
        record.line("machine 1 is back with an empty disk, bootstrap false");
    }
    sleep(RECOVER_S + CONTACT_S);
    record.line("the operator reads the configuration back");
    let read = operator.read(15.0);
    let version = read.as_deref().and_then(version_of);
    record.line(format!("version read back: {version:?}; acknowledged: 15"));
    let is_acknowledged = operator.replace(&document(17), 6.0);
    record.line(format!("a later change is acknowledged: {is_acknowledged}"));
    kit::record_voters(record, &voters);
    match version {
        Some(15..) => 0,
        _ => 1,
    }
}
