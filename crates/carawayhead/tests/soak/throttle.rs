//! Takes processor time from instances.

use {
    rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal},
    std::{
        os::fd::{AsFd, OwnedFd},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{JoinHandle, sleep, spawn},
        time::Duration,
    },
};

/// Time for which an instance runs at once, and number of such times in one turn.
const SLICE: Duration = Duration::from_millis(10);
const SLICES: usize = 10;

/// Of so many instances, one is left alone.
const UNTHROTTLED: usize = 3;

/// Lets most instances run for one slice of each turn only, until dropped.
pub struct Throttle {
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Throttles the instances with these process ids. Those that end are passed over.
    pub fn start(pids: &[u32]) -> Self {
        let pids = pids.iter().enumerate();
        let pids = pids.filter(|(number, _)| !number.is_multiple_of(UNTHROTTLED));
        let pids = pids.filter_map(|(_, pid)| Pid::from_raw(i32::try_from(*pid).ok()?));
        let opened = pids.map(|pid| pidfd_open(pid, PidfdFlags::empty()));
        let processes = opened.collect::<Result<Vec<_>, _>>();
        let processes = processes.expect("the instances run");
        let ends = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&ends);
        let thread = spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                for slice in 0..SLICES {
                    let running = processes.iter().skip(slice).step_by(SLICES);
                    for process in running.clone() {
                        signal(process, Signal::CONT);
                    }
                    sleep(SLICE);
                    for process in running {
                        signal(process, Signal::STOP);
                    }
                }
            }
            for process in &processes {
                signal(process, Signal::CONT);
            }
        });
        Self {
            ends,
            thread: Some(thread),
        }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // Fails if the thread has panicked.
            let _ended = thread.join();
        }
    }
}

/// Signals a process, unless it has ended.
fn signal(process: &OwnedFd, signal: Signal) {
    let _signalled = pidfd_send_signal(process.as_fd(), signal);
}
