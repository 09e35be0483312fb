// Package cacheowner records, for the chats whose primary is this side, which sides may have their prefix cached.
package cacheowner
