package org.whinwharf.front;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * An event loop of one thread whose scheduled tasks outlive their failures.
 *
 * <p>A plain event loop keeps what a scheduled task throws in a future that nobody reads, and never runs a periodic
 * task again that has thrown something. Here each scheduled task runs in a {@link TaskGuard}. Tasks passed to
 * {@link #execute(Runnable)} need none: the event loop logs what they throw.
 */
final class GuardedEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /**
     * Creates an event loop whose thread is not started yet.
     *
     * @param guard runs the scheduled tasks
     */
    GuardedEventLoopGroup(TaskGuard guard) {
        super(1, (Executor) null, NioIoHandler.newFactory(), guard);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... arguments) {
        // The constructor of the superclass calls this method, so that the guard cannot be a field.
        return new GuardedEventLoop(this, executor, factory, (TaskGuard) arguments[0]);
    }

    private static final class GuardedEventLoop extends SingleThreadIoEventLoop {
        private final TaskGuard guard;

        GuardedEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory factory, TaskGuard guard) {
            super(parent, executor, factory);
            this.guard = guard;
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(guarded(task), delay, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initialDelay, long delay, TimeUnit unit) {
            return super.scheduleWithFixedDelay(guarded(task), initialDelay, delay, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initialDelay, long period, TimeUnit unit) {
            return super.scheduleAtFixedRate(guarded(task), initialDelay, period, unit);
        }

        private Runnable guarded(Runnable task) {
            return () -> guard.run(task);
        }
    }
}
