/* Annotations that make the ordering of Concurrency Kit's structures visible to
 * ThreadSanitizer, which can't see their atomics: they are inline assembly. Without
 * RK_TSAN they do nothing. common/loop.c, which holds the ring itself, is built
 * without instrumentation. */
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
