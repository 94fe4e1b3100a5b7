//! System calls that fail as Linux documents, and a wall clock that steps: loaded with `LD_PRELOAD` into a process that a
//! test starts, and into no other.
//!
//! `SHIM_PLAN` holds rules set apart by semicolons, `CALL=ERROR@SHARE` or `CALL=short@SHARE`: that share of the calls, drawn by
//! `SHIM_SEED`, fails with that error, or reads or writes one byte alone. `SHIM_CLOCK=SECONDS@AFTER` moves the wall clock by so
//! many seconds, so many seconds after the first reading. `SHIM_REPORT` names a file that gets a line for each fault that
//! struck: a fault that was asked for and never struck shows nothing. Only TCP over IPv4 is hit; epoll waits always are.
#![allow(clippy::missing_safety_doc)]

mod plan;

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use plan::{Call, Fault, PLAN};
use std::ffi::CStr;
use std::mem::transmute;

/// The next definition of a symbol after this library's: the C library's own.
fn real(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends with a zero byte; dlsym may be called from any thread.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Fails the call with this error.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library's errno of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Whether a descriptor is a TCP socket over IPv4.
fn is_tcp(fd: c_int) -> bool {
    let option = |name| {
        let (mut value, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
        // SAFETY: both pointers hold for the call, and the length is that of the value.
        let done =
            unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length) };
        (done == 0).then_some(value)
    };
    option(libc::SO_DOMAIN) == Some(libc::AF_INET) && option(libc::SO_TYPE) == Some(libc::SOCK_STREAM)
}

fn struck(call: Call, fd: c_int) -> Option<Fault> {
    PLAN.concerns(call).then_some(())?;
    is_tcp(fd).then(|| PLAN.draw(call))?
}

/// `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Real = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    if let Some(Fault::Error(error)) = struck(Call::Accept, fd) {
        return fail(error);
    }
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"accept4"))(fd, address, length, flags) }
}

/// `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Real = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    if let Some(Fault::Error(error)) = struck(Call::Connect, fd) {
        return fail(error);
    }
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"connect"))(fd, address, length) }
}

/// `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let length = match struck(Call::Recv, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"recv"))(fd, buffer, length, flags) }
}

/// `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let length = match struck(Call::Send, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"send"))(fd, buffer, length, flags) }
}

/// `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    let count = match struck(Call::Send, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => count.min(1),
        None => count,
    };
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"writev"))(fd, pieces, count) }
}

/// `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(fd: c_int, events: *mut epoll_event, most: c_int, wait: c_int) -> c_int {
    type Real = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    if let Some(Fault::Error(error)) = PLAN.concerns(Call::Wait).then(|| PLAN.draw(Call::Wait)).flatten() {
        return fail(error);
    }
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"epoll_wait"))(fd, events, most, wait) }
}

/// `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Real = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    // SAFETY: the C library's function of this name has this type.
    let real = unsafe { transmute::<*mut c_void, Real>(real(c"clock_gettime")) };
    // SAFETY: the caller's pointer.
    let done = unsafe { real(clock, time) };
    if done == 0 && clock == libc::CLOCK_REALTIME && PLAN.steps() {
        let mut steady = timespec { tv_sec: 0, tv_nsec: 0 };
        // SAFETY: a place of its own.
        unsafe { real(libc::CLOCK_MONOTONIC, &raw mut steady) };
        let now = steady.tv_sec as f64 + steady.tv_nsec as f64 / 1e9;
        // SAFETY: the call has just filled it.
        unsafe { (*time).tv_sec += PLAN.step_at(now) };
    }
    done
}
