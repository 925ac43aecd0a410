
shared1