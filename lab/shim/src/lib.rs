//! System call faults and steps of the wall clock, for a process that a test starts with `LD_PRELOAD`. Calls fail with
//! errors that Linux documents for them.
//!
//! `SHIM_PLAN` is a list of rules separated by semicolons, `CALL=ERROR@SHARE` or `CALL=short@SHARE`. The given fraction of
//! the calls, drawn with `SHIM_SEED`, fails with the error, or transfers only one byte (`writev`: one buffer).
//! `SHIM_CLOCK=SECONDS@AFTER` steps the wall clock by `SECONDS`, `AFTER` seconds after it was first read. `SHIM_REPORT`
//! names a file to which a line is appended for each injected fault, because a test whose faults never occurred shows
//! nothing. Socket calls fail on TCP over IPv4 only; `epoll_wait` can fail on any descriptor.
#![allow(clippy::missing_safety_doc)]

mod plan;

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use plan::{Call, Fault, PLAN};
use std::ffi::CStr;
use std::mem::transmute;

/// Returns the definition of a symbol that follows this library's, which is the C library's.
fn real(name: &CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated, and dlsym may be called from any thread.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Sets errno and returns the result of a failed call.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library returns a valid pointer to this thread's errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns whether a descriptor is a TCP socket over IPv4.
fn is_tcp(fd: c_int) -> bool {
    let option = |name| {
        let (mut value, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
        // SAFETY: both pointers are valid during the call, and the length is that of the value.
        let done =
            unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length) };
        (done == 0).then_some(value)
    };
    option(libc::SO_DOMAIN) == Some(libc::AF_INET) && option(libc::SO_TYPE) == Some(libc::SOCK_STREAM)
}

/// Draws the fault of a socket call, if the plan has rules for it and the descriptor is a TCP socket over IPv4.
fn draw_fault(call: Call, fd: c_int) -> Option<Fault> {
    PLAN.has_rule(call).then_some(())?;
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
    if let Some(Fault::Error(error)) = draw_fault(Call::Accept, fd) {
        return fail(error);
    }
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"accept4"))(fd, address, length, flags) }
}

/// `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Real = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    if let Some(Fault::Error(error)) = draw_fault(Call::Connect, fd) {
        return fail(error);
    }
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"connect"))(fd, address, length) }
}

/// `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let length = match draw_fault(Call::Recv, fd) {
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
    let length = match draw_fault(Call::Send, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"send"))(fd, buffer, length, flags) }
}

/// `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    let count = match draw_fault(Call::Send, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => count.min(1),
        None => count,
    };
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"writev"))(fd, buffers, count) }
}

/// `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    type Real = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    if let Some(Fault::Error(error)) = PLAN.has_rule(Call::Wait).then(|| PLAN.draw(Call::Wait)).flatten() {
        return fail(error);
    }
    // SAFETY: the C library's function of this name has this type.
    unsafe { transmute::<*mut c_void, Real>(real(c"epoll_wait"))(fd, events, max_events, timeout) }
}

/// `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Real = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    // SAFETY: the C library's function of this name has this type.
    let real = unsafe { transmute::<*mut c_void, Real>(real(c"clock_gettime")) };
    // SAFETY: the caller guarantees that the pointer is valid.
    let done = unsafe { real(clock, time) };
    if done == 0 && clock == libc::CLOCK_REALTIME && PLAN.has_clock_step() {
        let mut monotonic = timespec { tv_sec: 0, tv_nsec: 0 };
        // SAFETY: the pointer refers to a local variable.
        unsafe { real(libc::CLOCK_MONOTONIC, &raw mut monotonic) };
        let now = monotonic.tv_sec as f64 + monotonic.tv_nsec as f64 / 1e9;
        // SAFETY: the call succeeded, so that the pointer is valid and initialized.
        unsafe { (*time).tv_sec += PLAN.clock_offset(now) };
    }
    done
}
