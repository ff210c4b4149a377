/* Bounds of the numbers in peers' messages. Each message is checked once, where it
 * is parsed, so that no other code has to allow for values that no node sends. */
#ifndef RK_PEERS_FRAME_BOUNDS_H
#define RK_PEERS_FRAME_BOUNDS_H

#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>

/* A number out of its bounds. */
struct rk_odd_number {
    const char *message, *field; /* as in peers.proto */
    double value;
};

/* Removes the rows, and the other messages within `message`, that have a number out
 * of its bounds. Returns false if one of its own numbers is, or one of a row that
 * its readers can't do without: the whole message is not to be used. removed:
 * number of removed rows, increased; first: the first such number, unless there was
 * one before. Removed rows are not freed, so the message must be in an arena unless
 * it is a StoreText, of which no row is removed. */
bool rk_message_check_numbers(ProtobufCMessage *message, size_t *removed,
                              struct rk_odd_number *first);

#endif
