/* Tells ThreadSanitizer of the order that Concurrency Kit's structures give:
 * their atomics are inline assembly, which it can't see. Nothing otherwise. The
 * file with the ring itself (common/loop.c) is built without instrumentation. */
#ifndef RK_COMMON_TSAN_H
#define RK_COMMON_TSAN_H

#ifdef RK_TSAN
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define RK_TSAN_ACQUIRE(addr) __tsan_acquire(addr)
#define RK_TSAN_RELEASE(addr) __tsan_release(addr)
#else
#define RK_TSAN_ACQUIRE(addr) ((void)(addr))
#define RK_TSAN_RELEASE(addr) ((void)(addr))
#endif

#endif
