
3
12-hosthttp://127.87.0.53:7701north е§с•Ми“ч«Й :'
 05800439268e369aac067a9824f6de91М:'
 b0ba714a08e182f543f08661067438c2Е:'
 ebdd3526db535ef3f9ab5ca638490523Е@J

sharedJJ
op6J
serversIR
e3