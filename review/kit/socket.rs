//! Resets of connections, and signals. The standard library has neither.

use std::ffi::{c_int, c_ulong};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

#[repr(C)]
struct Linger {
    on: c_int,
    seconds: c_int,
}

/// A socket address without a family.
#[repr(C)]
struct Address {
    family: u16,
    data: [u8; 14],
}

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const Linger, len: u32) -> c_int;
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn prctl(option: c_int, ...) -> c_int;
    fn connect(fd: c_int, address: *const Address, len: u32) -> c_int;
}

const SOL_SOCKET: c_int = 1;
const SO_LINGER: c_int = 13;

/// Makes the connection end with a reset when its last handle is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let size = std::mem::size_of::<Linger>() as u32;
    // The descriptor is open and the structure is as the call expects it.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, size) };
}

/// Resets a connection at once, also while other handles of it are open: that is what connecting it to an address
/// without a family does.
pub fn reset(stream: &TcpStream) {
    let address = Address { family: 0, data: [0; 14] };
    let size = std::mem::size_of::<Address>() as u32;
    unsafe { connect(stream.as_raw_fd(), &address, size) };
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Has the kernel kill a child process when the case ends, however it ends.
pub fn kill_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: c_int = 1;
    let ask = || match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as c_ulong) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    };
    // Between fork and exec, only this call is made.
    unsafe { command.pre_exec(ask) };
}

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as c_int, signal) };
}
