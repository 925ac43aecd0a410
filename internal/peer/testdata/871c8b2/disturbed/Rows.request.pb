
shared¤