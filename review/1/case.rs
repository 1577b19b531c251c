//! Two core machines are replaced as planned, one after the other; much later one machine loses its
//! disk.
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
    let site = Site::new("1");
    let code = run(&record, &site);
    record.line(format!("exit {code}"));
    drop(site);
    std::process::exit(code);
}

fn stop(record: &Record, voter: &mut Daemon) {
    voter.signal("TERM");
    record.line(format!("machine {}: SIGTERM, for good", voter.machine));
    if !voter.wait_end(8.0) {
        voter.kill();
    }
    record.line(format!("machine {} has ended", voter.machine));
}

fn run(record: &Record, site: &Site) -> i32 {
    let seeds = [1, 2, 3];
    let start = |machine: u8, bootstrap: bool| {
        wipe(&site.data_folder(machine));
        Daemon::start(site, machine, &site.voter(machine, &seeds, bootstrap))
    };
    let mut voters: Vec<Daemon> = seeds.iter().map(|machine| start(*machine, true)).collect();
    record.line("machines 1, 2 and 3 serve control; bootstrap is true");
    let mut operator = Operator::new(site, record, &seeds);
    if !operator.replace(&document(10), 15.0) {
        record.line("the first configuration was not accepted: the case can't run");
        return 2;
    }
    sleep(2.0);
    if has_trouble() {
        // Planned replacements: each successor starts first, at a new address, with an empty disk.
        voters.push(start(4, false));
        record.line("machine 4 starts with an empty disk; it is to replace machine 3");
        operator.voters = vec![1, 2, 3, 4];
        sleep(CATCH_UP_S + 1.0);
        voters.push(start(5, false));
        record.line("machine 5 starts with an empty disk; it is to replace machine 2");
        operator.voters = vec![1, 2, 3, 4, 5];
        sleep(CATCH_UP_S + 1.0);
        stop(record, &mut voters[2]);
        operator.voters = vec![1, 2, 4, 5];
        sleep(7.0);
        stop(record, &mut voters[1]);
        operator.voters = vec![1, 4, 5];
        sleep(10.0);
    }
    if !operator.replace(&document(15), 6.0) {
        record.line("the change before the loss was not acknowledged: the case can't run");
        return 2;
    }
    if has_trouble() {
        voters[0].kill();
        wipe(&site.data_folder(1));
        record.line("machine 1 loses power and its disk, right after the acknowledgement");
        sleep(1.0);
        voters[0].restart(&site.voter(1, &[1, 4, 5], false));
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
